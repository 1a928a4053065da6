package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Suspended returns the time for which the machine has been suspended since its start, as far as the runtime's clock left it out. It
// is 0 if the system doesn't say. The result is never too high. It is too low by the time between the readings of the two clocks,
// which the runtime's clock makes up for if it is read after the call.
func Suspended() time.Duration {
	b, err := read(unix.CLOCK_BOOTTIME)
	if err != nil {
		return 0
	}
	m, err := read(unix.CLOCK_MONOTONIC)
	if err != nil {
		return 0
	}
	return b - m
}

// read returns the time of a clock of the system.
func read(clock int32) (time.Duration, error) {
	var t unix.Timespec
	err := unix.ClockGettime(clock, &t)
	return time.Duration(t.Nano()), err
}
