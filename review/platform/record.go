package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file in which a trial writes what was sent, answered and run. It is safe for concurrent use.
type record struct {
	start time.Time
	lock  sync.Mutex
	file  *os.File
	out   *bufio.Writer
}

// newRecord creates the file at path.
func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{start: time.Now(), file: f, out: bufio.NewWriter(f)}, nil
}

// write adds a line with the time since the start of the trial.
func (r *record) write(format string, values ...any) {
	r.lock.Lock()
	defer r.lock.Unlock()
	_, _ = fmt.Fprintf(r.out, "%9.4f ", time.Since(r.start).Seconds()) // a record that can't be written shows at its end
	_, _ = fmt.Fprintf(r.out, format+"\n", values...)
}

// print is like write, and shows the line on standard output too.
func (r *record) print(format string, values ...any) {
	r.write(format, values...)
	fmt.Printf("%9.4f ", time.Since(r.start).Seconds())
	fmt.Printf(format+"\n", values...)
}

// close writes what is buffered.
func (r *record) close() {
	r.lock.Lock()
	defer r.lock.Unlock()
	_ = r.out.Flush() // the exit code tells the result
	_ = r.file.Close()
}
