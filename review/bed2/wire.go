// Package bed2 holds what the cases of the second review share: a small deployment of the project's own programs as
// processes on loopback addresses, raw stand-ins for backend servers and clients, and the record of a case.
//
// Stand-ins do what the platform's pages allow. They write and read HTTP/1.1 by hand, so that a case sees on the socket
// what a server or a client would see.
package bed2

import (
	_ "embed"
	"strings"
)

// wireNames holds the platform's names of headers and paths, one by line after its key.
//
//go:embed wire.txt
var wireNames string

// Wire returns the platform's name of a header or path.
func Wire(key string) string {
	for line := range strings.Lines(wireNames) {
		if k, name, ok := strings.Cut(strings.TrimSpace(line), " "); ok && k == key {
			return name
		}
	}
	panic("no wire name for " + key)
}
