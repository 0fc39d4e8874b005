package dispatch

// reportsWorkTime reports whether servers of a service report the time that work takes on their machines.
func (f *Fleet) reportsWorkTime(string) bool { return false }
