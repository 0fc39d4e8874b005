package control

import (
	"context"
	"sync"

	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// HandOver sends to the other control hosts what was accepted here and not passed on to them: the
// announcements of backend servers, the origins of streams and the records of requests that crash
// servers. It returns when they have acknowledged it, or with ctx. It must be called when this host
// accepts no more messages. A host that has nothing to pass on returns at once.
func (f *Fleet) HandOver(ctx context.Context) {
	var sending sync.WaitGroup
	for _, addr := range f.exchangeTargets() {
		sending.Add(1)
		go func() {
			defer sending.Done()
			f.handOverTo(ctx, addr)
		}()
	}
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		sending.Wait()
	}()
	select {
	case <-sent:
	case <-ctx.Done(): // a connection attempt goes on for longer
	}
}

// handOverTo sends exchanges to a control host until it has everything or does not answer.
func (f *Fleet) handOverTo(ctx context.Context, addr string) {
	for ctx.Err() == nil {
		x, next := f.buildExchange(addr)
		if !mustArrive(x) {
			return
		}
		if err := f.sendExchange(ctx, addr, x, next); err != nil {
			f.o.Log.Info("control host did not receive what was accepted here", "peer", addr, "servers", len(x.Servers),
				"streams", len(x.Streams.GetStream()), "quarantine_records", len(x.Quarantine), "reason", err.Error())
			return
		}
	}
}

// mustArrive reports whether an exchange contains what only this control host may know.
func mustArrive(x *pb.ControlExchange) bool {
	return len(x.Servers) > 0 || len(x.Streams.GetStream()) > 0 || len(x.Quarantine) > 0
}
