package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file in which a case writes what was sent, answered and run. It is safe for concurrent use.
type record struct {
	began time.Time
	lock  sync.Mutex
	file  *os.File
	out   *bufio.Writer
}

// newRecord creates the file.
func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{began: time.Now(), file: f, out: bufio.NewWriter(f)}, nil
}

// note writes a line with the time since the begin, in the file and to standard output.
func (r *record) note(format string, a ...any) {
	r.lock.Lock()
	defer r.lock.Unlock()
	l := fmt.Sprintf("%8.3f  ", time.Since(r.began).Seconds()) + fmt.Sprintf(format, a...)
	fmt.Fprintln(r.out, l)
	fmt.Println(l)
}

// detail writes a line in the file only.
func (r *record) detail(format string, a ...any) {
	r.lock.Lock()
	defer r.lock.Unlock()
	fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, a...))
}

// close writes what is buffered.
func (r *record) close() {
	r.lock.Lock()
	defer r.lock.Unlock()
	_ = r.out.Flush() // the file is only read by people
	_ = r.file.Close()
}
