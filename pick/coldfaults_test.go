package pick_test

import "time"

// injectFaults lets hosts and links fail at times, and endpoints start again and turn cold.
func (f *coldFleet) injectFaults() {
	now := func(every time.Duration) bool { return f.random.Int64N(int64(every/coldStep)) == 0 }
	for _, e := range f.servers {
		switch {
		case f.now < e.coldUntil:
		case now(12 * time.Second): // starts again
			e.downUntil = f.now + time.Duration(f.random.Int64N(int64(time.Second)))
			e.born, e.sequence = f.now.Milliseconds()+2, 0
			e.coldUntil, e.beat = e.downUntil+coldTime, e.downUntil
		case now(12 * time.Second): // turns cold
			e.coldUntil, e.beat = f.now+coldTime, f.now
		}
	}
	if now(8 * time.Second) { // all of a data centre at once
		for _, e := range f.servers[:(len(f.servers)+3)/4] {
			e.coldUntil, e.beat = f.now+coldTime, f.now
		}
	}
	for _, h := range f.members {
		if now(time.Minute) {
			f.restartHost(h)
		}
	}
	for _, c := range f.nodes {
		if now(15 * time.Second) {
			f.startControl(c, time.Duration(f.random.Int64N(int64(time.Second))))
		}
	}
	if now(20 * time.Second) { // all processes
		for _, h := range f.members {
			f.restartHost(h)
		}
		for _, c := range f.nodes {
			f.startControl(c, time.Duration(f.random.Int64N(int64(300*time.Millisecond))))
		}
	}
	if now(6 * time.Second) {
		f.cut(f.random.IntN(3))
	}
}

// cut divides hosts and control hosts into sides that exchange no messages, or joins them for 0.
func (f *coldFleet) cut(sides int) {
	for _, h := range f.members {
		h.side = f.random.IntN(sides + 1)
	}
	for _, c := range f.nodes {
		c.side = f.random.IntN(sides + 1)
	}
}

func (f *coldFleet) restartHost(h *coldHost) {
	d := time.Duration(f.random.Int64N(int64(300 * time.Millisecond)))
	h.downUntil = f.now + d
	h.start = -1
	f.later(d+coldStep, func() { f.startHost(h) })
}
