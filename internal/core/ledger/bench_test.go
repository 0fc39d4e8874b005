package ledger

import (
	"fmt"
	"runtime"
	"testing"

	"google.golang.org/protobuf/proto"

	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// fiveReplicas returns the replicas of five hosts, with all partitions voting.
func fiveReplicas() map[string]*Replica {
	var members []Member
	for i := range 5 {
		members = append(members, Member{fmt.Sprint("h", i), fmt.Sprint("d", i)})
	}
	out := map[string]*Replica{}
	for i, m := range members {
		r := NewReplica(m.ID, Limits{MaxKeys: 1 << 20, RetryMS: 100}, int64(i))
		r.SetMembers(members, 5)
		out[m.ID] = r
	}
	runRecovery(out, 0)
	return out
}

// runRecovery runs the recovery until all partitions vote. It returns the number and the
// size in bytes of the messages sent.
func runRecovery(rs map[string]*Replica, now int64) (messages, bytes int) {
	for {
		now += 200
		var net []*pb.LedgerMessage
		all := true
		for _, r := range rs {
			net = append(net, r.Tick(now)...)
			active, total := r.Active()
			all = all && active == total
		}
		if all {
			return messages, bytes
		}
		for len(net) > 0 {
			m := net[0]
			net = net[1:]
			messages++
			bytes += proto.Size(m)
			switch Kind(m.Kind) {
			case RecoveryStatus, JoinState, FormPromise:
				net = append(net, rs[m.To].HandleReply(m, now)...)
			default:
				if reply := rs[m.To].Handle(m, now); reply != nil {
					net = append(net, reply)
				}
			}
		}
	}
}

// runOp runs an operation to its end. It returns the number and the size in bytes of
// the messages sent.
func runOp(rs map[string]*Replica, op *Op, net []*pb.LedgerMessage, now int64) (messages, bytes int) {
	for len(net) > 0 {
		m := net[0]
		net = net[1:]
		reply := rs[m.To].Handle(proto.Clone(m).(*pb.LedgerMessage), now)
		messages += 2
		bytes += proto.Size(m) + proto.Size(reply)
		net = append(net, op.Handle(reply)...)
	}
	return messages, bytes
}

func claimAndFinish(rs map[string]*Replica, i int) (messages, bytes int) {
	key, attempt := fmt.Sprintf("team\x00key-%08d", i), fmt.Sprintf("attempt-%08d", i)
	now := int64(1_000_000)
	claim := &Op{Kind: OpClaim, Key: key, Attempt: attempt, Owner: "h0/1", Digest: make([]byte, 32), IssuedMS: now, RetentionMS: 900_000, NowMS: now}
	m1, b1 := runOp(rs, claim, claim.Start("p", []string{"h0", "h1", "h2", "h3", "h4"}), now)
	finish := &Op{Kind: OpFinish, Key: key, Attempt: attempt, Answer: &pb.LedgerAnswer{Status: 200, Body: make([]byte, 200)}, RetentionMS: 900_000, NowMS: now}
	m2, b2 := runOp(rs, finish, finish.StartAfterClaim(claim), now)
	return m1 + m2, b1 + b2
}

// BenchmarkOrder measures the ledger's work for one request on all five replicas:
// the claim and the recording of a 200-byte answer.
func BenchmarkOrder(b *testing.B) {
	rs := fiveReplicas()
	b.ReportAllocs()
	i, messages, bytes := 0, 0, 0
	for b.Loop() {
		messages, bytes = claimAndFinish(rs, i)
		i++
	}
	b.ReportMetric(float64(messages), "messages/op")
	b.ReportMetric(float64(bytes), "wire-bytes/op")
}

// BenchmarkRecovery restarts one of five replicas that hold 100,000 keys.
func BenchmarkRecovery(b *testing.B) {
	rs := fiveReplicas()
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	const keys = 100_000
	for i := range keys {
		claimAndFinish(rs, i)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	var members []Member
	for i := range 5 {
		members = append(members, Member{fmt.Sprint("h", i), fmt.Sprint("d", i)})
	}
	messages, bytes := 0, 0
	for b.Loop() {
		r := NewReplica("h4", Limits{MaxKeys: 1 << 20, RetryMS: 100}, 9)
		r.SetMembers(members, 5)
		rs["h4"] = r
		messages, bytes = runRecovery(rs, 2_000_000)
		if r.Keys() != keys {
			b.Fatalf("%d keys recovered", r.Keys())
		}
	}
	b.ReportMetric(float64(messages), "messages/op")
	b.ReportMetric(float64(bytes)/1e6, "wire-MB/op")
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/keys/5, "heap-bytes/key")
}
