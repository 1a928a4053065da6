package speed

import (
	"math"
	"time"
)

// unit is the fraction in which sums are sent, so that messages hold short whole numbers.
const unit = 1000

// cell holds the sums of the logarithms of samples of one kind at one band, each weighted by its age.
type cell struct {
	count, sum, square float64
}

// sums holds the cells of an endpoint, by kind and band.
type sums [kindCount][Bands]cell

// scaled returns the sums with each sample's weight multiplied.
func (s sums) scaled(by float64) sums {
	for k := range s {
		for b := range s[k] {
			c := &s[k][b]
			c.count, c.sum, c.square = c.count*by, c.sum*by, c.square*by
		}
	}
	return s
}

// faded returns the sums as they count some time later.
func (s sums) faded(d time.Duration) sums { return s.scaled(fading(d)) }

// plus returns the sums of the samples of both.
func (s sums) plus(o sums) sums {
	for k := range s {
		for b := range s[k] {
			c, x := &s[k][b], o[k][b]
			c.count, c.sum, c.square = c.count+x.count, c.sum+x.sum, c.square+x.square
		}
	}
	return s
}

// minus returns the sums without the samples of others, which are part of them. Rounding may leave traces; they are dropped.
func (s sums) minus(o sums) sums {
	s = s.plus(o.scaled(-1))
	for k := range s {
		for b := range s[k] {
			if s[k][b].count < forgottenCount {
				s[k][b] = cell{}
			}
		}
	}
	return s
}

// count returns the weight of all samples.
func (s sums) count() float64 {
	var n float64
	for k := range s {
		for b := range s[k] {
			n += s[k][b].count
		}
	}
	return n
}

// isFaded reports whether the samples count so little some time later that they may be dropped.
func (s sums) isFaded(d time.Duration) bool { return s.count()*fading(d) < forgottenCount }

// Cell is a cell in a message, in thousandths.
type Cell struct {
	// Place is the number of the kind times Bands plus the band.
	Place              int
	Count, Sum, Square int64
}

// Sums is what an entry host has measured of a start of an endpoint: all its samples, each weighted by its age at the time of
// the message. Newer Sums of the same host replace older ones, so that lost and repeated messages count once.
type Sums struct {
	Born  int64
	Cells []Cell
}

// message returns the sums as they are sent.
func (s sums) message(born int64) Sums {
	r := Sums{Born: born}
	for k := range s {
		for b, c := range s[k] {
			if c.count >= forgottenCount {
				r.Cells = append(r.Cells, Cell{k*Bands + b, toUnits(c.count), toUnits(c.sum), toUnits(c.square)})
			}
		}
	}
	return r
}

// sums returns what a message holds. Cells that this build doesn't know, and values that no host measures, are left out.
func (s Sums) sums() sums {
	var r sums
	for _, c := range s.Cells {
		n := cell{float64(c.Count) / unit, float64(c.Sum) / unit, float64(c.Square) / unit}
		if c.Place >= 0 && c.Place < int(kindCount)*Bands && n.count > 0 && math.Abs(n.sum) <= n.count*maxLog+1 && n.square >= 0 {
			r[c.Place/Bands][c.Place%Bands] = n
		}
	}
	return r
}

func toUnits(x float64) int64 { return int64(math.Round(x * unit)) }

// Faded returns reports as they count some time later.
func Faded(reports map[string]Sums, d time.Duration) map[string]Sums {
	if len(reports) == 0 || d <= 0 {
		return reports
	}
	r := make(map[string]Sums, len(reports))
	for e, s := range reports {
		r[e] = s.sums().faded(d).message(s.Born)
	}
	return r
}
