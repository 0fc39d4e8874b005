package configstate

import (
	"fmt"
	"testing"

	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// TestOrderIndex checks that the index of a subject is never below that of its last command.
func TestOrderIndex(t *testing.T) {
	o := NewOrderIndex(10)
	commands := []*pb.Command{
		{Evacuate: "a"}, {Restore: "b"}, {DeclaredVersion: 3}, {Restore: "a"}, {OrderCounter: 1},
		{Quarantine: &pb.QuarantineRecord{Fingerprint: []byte{1}}}, {Lift: &pb.QuarantineRecord{Fingerprint: []byte{1}}},
	}
	for i, c := range commands {
		o.Record(uint64(11+i), c)
	}
	for subject, want := range map[string]uint64{
		"evacuation of a": 14, "evacuation of b": 12, SubjectOfEngineOrders: 15, "quarantine of 01": 17,
		"evacuation of c": 10, // the snapshot may hold an order on it
	} {
		if got := o.Last(subject); got != want {
			t.Errorf("%s: %d, want %d", subject, got, want)
		}
	}
	for i := range maxOrderSubjects {
		o.Record(uint64(100+i), &pb.Command{Evacuate: fmt.Sprint(i)})
	}
	if got := o.Last("evacuation of a"); got < 14 || len(o.last) > maxOrderSubjects {
		t.Errorf("after many subjects: %d, %d subjects", got, len(o.last))
	}
	if got, want := o.Last(fmt.Sprintf("evacuation of %d", maxOrderSubjects-1)), uint64(100+maxOrderSubjects-1); got != want {
		t.Errorf("the last subject: %d, want %d", got, want)
	}
}
