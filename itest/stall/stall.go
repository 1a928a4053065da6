// Package stall makes disks stand or slow while a file in the data folder says so.
package stall

import (
	"os"
	"path/filepath"
	"time"
)

// StandFile and SlowFile are names of files in a data folder. While the first exists, no sync of a file beside it ends; while the
// second exists, each takes SlowSync longer.
const (
	StandFile = "stand"
	SlowFile  = "slow"
	SlowSync  = 80 * time.Millisecond
)

// standPause is the pause between two looks whether a disk still stands.
const standPause = 5 * time.Millisecond

// Delay waits before a sync of a file as long as its disk does.
func Delay(path string) {
	if exists(path, SlowFile) {
		time.Sleep(SlowSync)
	}
	for exists(path, StandFile) {
		time.Sleep(standPause)
	}
}

// exists reports whether a file with a name is beside another one.
func exists(path, name string) bool {
	_, err := os.Stat(filepath.Join(filepath.Dir(path), name))
	return err == nil
}
