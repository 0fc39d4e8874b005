package registry

import "sort"

// removal is a server or entry host that left the lists at a version.
type removal struct {
	version uint64
	server  bool
	id      string
}

// removalsKept bounds the removals that are remembered. A host whose last view is older
// gets whole lists.
const removalsKept = 2048

// remove records that a server or entry host left the lists.
func (r *Registry) remove(server bool, id string) {
	r.version++
	r.removed = append(r.removed, removal{r.version, server, id})
	if n := len(r.removed) - removalsKept; n > 0 {
		r.forgotten = r.removed[n-1].version
		r.removed = r.removed[n:]
	}
}

// Removed returns the servers and entry hosts that left the lists after a version. It
// reports whether all of them are still remembered.
func (r *Registry) Removed(version uint64) (servers, hosts []string, complete bool) {
	for _, m := range r.removed {
		switch {
		case m.version <= version:
		case m.server:
			servers = append(servers, m.id)
		default:
			hosts = append(hosts, m.id)
		}
	}
	return servers, hosts, version >= r.forgotten
}

// List returns the region's servers that entry hosts are told of, sorted by ID. One whose
// lease has run out stays until that is told.
func (r *Registry) List(region string) []*Server {
	out, ok := r.lists[region]
	if ok {
		return out
	}
	for _, s := range r.servers {
		if !s.Gone && !s.unlisted && r.RegionOf(s.FailureDomain) == region {
			out = append(out, s)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	r.lists[region] = out
	return out
}

// Gone returns the servers that are gone: the region's, and those that left before it was
// known where they are.
func (r *Registry) Gone(region string) []*Server {
	var out []*Server
	for _, s := range r.servers {
		if of := r.RegionOf(s.FailureDomain); s.Gone && (of == region || of == "") {
			out = append(out, s)
		}
	}
	return out
}
