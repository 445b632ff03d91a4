package settings

import (
	"fmt"
	"strconv"
)

// Fault is one thing wrong with a settings file. All faults of a file are reported together.
type Fault struct {
	File    string
	Line    int    // from 1; 0: not known
	Field   string // path, such as plan[1].weight; empty: the file is no settings file
	Value   string // as given; empty where the field is missing
	Allowed string // what is allowed
}

// Error spells the fault as file:line: field: value: what is allowed.
func (f Fault) Error() string {
	place := f.File
	if f.Line > 0 {
		place += ":" + strconv.Itoa(f.Line)
	}
	if f.Field == "" {
		return fmt.Sprintf("%s: %s", place, f.Allowed)
	}
	if f.Value == "" {
		return fmt.Sprintf("%s: %s: %s", place, f.Field, f.Allowed)
	}
	return fmt.Sprintf("%s: %s: %s: %s", place, f.Field, f.Value, f.Allowed)
}
