package settings

import (
	"fmt"
	"strconv"
)

// Fault is one error in a settings file. All faults of a file are reported together.
type Fault struct {
	File    string
	Line    int    // line number from 1; 0: unknown
	Field   string // path such as plan[1].weight; empty: the file is malformed
	Value   string // value as given; empty if the field is missing
	Allowed string // description of the allowed values
}

// Error returns the fault as file:line: field: value: allowed values.
func (f Fault) Error() string {
	location := f.File
	if f.Line > 0 {
		location += ":" + strconv.Itoa(f.Line)
	}
	if f.Field == "" {
		return fmt.Sprintf("%s: %s", location, f.Allowed)
	}
	if f.Value == "" {
		return fmt.Sprintf("%s: %s: %s", location, f.Field, f.Allowed)
	}
	return fmt.Sprintf("%s: %s: %s: %s", location, f.Field, f.Value, f.Allowed)
}
