package gateway

import (
	"bufio"
	"bytes"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/sesamefork/sesamefork/internal/core/dispatch"
	"github.com/sesamefork/sesamefork/internal/core/serverload"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
	"github.com/sesamefork/sesamefork/internal/membudget"
)

// FuzzEvents checks that the events of a stream add up to the bytes that were read: none is lost,
// duplicated or invented, and part of an event is never returned as a complete one.
func FuzzEvents(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"))
	f.Add([]byte("id: 1\r\n\r\nid:"))
	f.Add([]byte("\n\n\n"))
	f.Fuzz(func(t *testing.T, stream []byte) {
		r := &eventReader{r: bufio.NewReaderSize(bytes.NewReader(stream), 16), hold: (*membudget.Budget)(nil).NewHold(0)}
		var got []byte
		for {
			event, err := r.next()
			if err != nil {
				if rest := stream[len(got):]; !bytes.Equal(rest, event) && len(event) > 0 {
					t.Errorf("rest %q, read as %q", rest, event)
				}
				return
			}
			got = append(got, event...)
			if !bytes.HasPrefix(stream, got) || !bytes.HasSuffix(event, []byte("\n")) {
				t.Fatalf("event %q in %q", event, stream)
			}
			_, _ = eventID(event)
		}
	})
}

// FuzzView applies arbitrary views: the host must not panic. Views that do not follow the present
// state are rejected by viewState and not passed on.
func FuzzView(f *testing.F) {
	good, err := proto.Marshal(&pb.FleetView{
		Epoch: 1, Version: 1, Servers: []*pb.FleetServer{{Id: "s", Service: "llm", Address: "a:1", Start: 5}},
		Hosts: []*pb.FleetHost{{Id: "h", Region: "east", Ready: true}}, Regions: []*pb.RegionLoad{{Region: "east", Service: "llm", Servers: 1}},
	})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good, good)
	f.Add([]byte{}, []byte{0xff})
	f.Fuzz(func(t *testing.T, first, second []byte) {
		fx := newFixture(t)
		src := &viewState{}
		for _, raw := range [][]byte{first, second} {
			v := new(pb.FleetView)
			if proto.Unmarshal(raw, v) != nil {
				return
			}
			if src.apply(v) {
				fx.g.applyView(v, dispatch.ViewScope{Loads: true, Others: src.otherLoads(serverload.Loads{1: {Requests: 1}}), Fleet: true})
			}
			fx.g.place(&execution{r: fx.request("/order/1"), record: fx.g.config.Load().Record, route: &fx.g.config.Load().Record.Routes[0], service: "llm", tried: map[string]bool{}, deadline: fx.clock.Now()})
		}
	})
}
