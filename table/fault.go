package table

import "fmt"

// Fault is an error in a routing table.
type Fault struct {
	Where  string
	What   string
	Remedy string
}

// Error names the place, the fault and the remedy.
func (f *Fault) Error() string { return fmt.Sprintf("%s %s; %s", f.Where, f.What, f.Remedy) }
