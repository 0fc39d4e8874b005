package dispatch

import "time"

// steadyFactor returns the ratio of the time that work usually takes at a server to that at the service's usual
// server. It is 1 for a service whose servers report no work time.
func (f *Fleet) steadyFactor(*Server) float64 { return 1 }

// workFactor returns the ratio of the time that work is expected to take at a server now to the usual one of its
// service. It is 1 for a service whose servers report no work time.
func (f *Fleet) workFactor(s *Server, _ time.Time) float64 { return f.steadyFactor(s) }
