package logger

import (
	"time"

	"github.com/sirupsen/logrus"
)

// reportInterval is the least time between two lines that report losses.
const reportInterval = time.Second

// counts is a number of lines by their level.
type counts map[logrus.Level]uint64

// byName returns the counts by the names of the levels.
func (c counts) byName() map[string]uint64 {
	r := map[string]uint64{}
	for l, n := range c {
		r[l.String()] = n
	}
	return r
}

// add adds other counts.
func (c counts) add(o counts) {
	for l, n := range o {
		c[l] += n
	}
}

// losses counts the lines that weren't written since the last report.
type losses struct {
	// dropped counts the lines for which there was no room or that couldn't be written, and limited those that the rate limit left
	// out.
	dropped, limited counts
}

func newLosses() losses { return losses{counts{}, counts{}} }

// any reports whether a line was lost.
func (s losses) any() bool { return len(s.dropped)+len(s.limited) > 0 }

// add adds other losses.
func (s losses) add(o losses) {
	s.dropped.add(o.dropped)
	s.limited.add(o.limited)
}

// lossReport formats the line that reports losses.
type lossReport struct {
	logger    *logrus.Logger
	formatter logrus.Formatter
	host      string
}

// line returns the line that reports s. dropped and limited are numbers of lines by their level.
func (r lossReport) line(s losses) ([]byte, error) {
	e := logrus.NewEntry(r.logger).WithFields(logrus.Fields{"host": r.host, "dropped": s.dropped.byName(), "limited": s.limited.byName()})
	e.Time, e.Level, e.Message = time.Now(), logrus.WarnLevel, "log: lines were dropped or left out"
	return r.formatter.Format(e)
}
