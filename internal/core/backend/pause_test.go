package backend

import (
	"testing"
	"time"

	"github.com/sesamefork/sesamefork/internal/core/serverpause"
)

// TestPauseSurvivesWhatIsHeardOfTheServer guards against a server that is used in its pause.
func TestPauseSurvivesWhatIsHeardOfTheServer(t *testing.T) {
	const pause = 5 * time.Minute
	ask := serverpause.Demand{For: pause}
	for name, c := range map[string]struct {
		event  func(*Table, *Server)
		paused bool
	}{
		"nothing":         {func(*Table, *Server) {}, true},
		"an announcement": {func(tab *Table, _ *Server) { tab.Merge(announcement(1, 9), start.Add(time.Second)) }, true},
		"a shorter demand": {func(tab *Table, s *Server) {
			tab.RecordPause(s, 1, serverpause.Demand{For: time.Millisecond}, 0, start.Add(time.Second))
		}, true},
		"a failure and a recovery": {func(tab *Table, s *Server) {
			tab.Started(s, nil, start)
			tab.Finished(s, false, 0, start)
			tab.Started(s, nil, start)
			tab.Finished(s, true, time.Second, start)
		}, true},
		"no announcement for long": {func(tab *Table, _ *Server) { tab.Expire(start.Add(pause - time.Second)) }, true},
		"a new process, the old one was heard of later": {func(tab *Table, _ *Server) {
			tab.Merge(announcement(1, 9), start.Add(maxAnnouncementDelay+time.Second))
			tab.Merge(announcement(2, 1), start.Add(maxAnnouncementDelay+2*time.Second))
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			tab := table()
			tab.Merge(announcement(1, 1), start)
			tab.RecordPause(tab.Get("s"), 1, ask, 0, start)
			c.event(tab, tab.Get("s"))
			now := start.Add(pause - time.Millisecond)
			tab.Merge(announcement(tab.Get("s").State.Incarnation, 99), now)
			if got := tab.Usable(tab.Get("s"), now) == SkipPaused; got != c.paused {
				t.Errorf("paused %v, want %v", got, c.paused)
			}
			end := start.Add(pause)
			if tab.Usable(tab.Get("s"), end) != SkipNone || tab.Ramp(tab.Get("s"), end.Add(serverpause.SlowStart+10*time.Second)) != 1 {
				t.Error("not in full use after the pause")
			}
		})
	}
}

// TestNewProcessPausesIfItMayHaveAsked guards against a new process whose own demand was taken for its predecessor's.
func TestNewProcessPausesIfItMayHaveAsked(t *testing.T) {
	tab := table()
	tab.Merge(announcement(1, 1), start)
	tab.RecordPause(tab.Get("s"), 1, serverpause.Demand{For: 3 * time.Second}, 0, start.Add(500*time.Millisecond))
	tab.Merge(announcement(2, 1), start.Add(time.Second))
	if got := tab.Usable(tab.Get("s"), start.Add(2*time.Second)); got != SkipPaused {
		t.Errorf("the new process is %q", got)
	}
}

// TestServerThatSaysItLeavesIsSkipped guards against announcements that still call it ready, and against a new
// process that is left out for its predecessor's answers.
func TestServerThatSaysItLeavesIsSkipped(t *testing.T) {
	tab := table()
	tab.Merge(announcement(1, 1), start)
	s := tab.Get("s")
	if !tab.RecordLeaving(s, 1) || tab.RecordLeaving(s, 1) {
		t.Error("the first answer that says so is not told from the next")
	}
	tab.Merge(announcement(1, 2), start)
	if got := tab.Usable(s, start); got != SkipLeaving {
		t.Errorf("the leaving process is %q", got)
	}
	tab.Merge(announcement(2, 1), start)
	tab.RecordLeaving(s, 1) // a late answer
	if got := tab.Usable(tab.Get("s"), start); got != SkipNone {
		t.Errorf("the next process is %q", got)
	}
}

// TestLateDemandOfTheProcessBeforeIsBounded guards against a long pause of a process that has not asked for one.
func TestLateDemandOfTheProcessBeforeIsBounded(t *testing.T) {
	tab := table()
	tab.Merge(announcement(2, 1), start)
	tab.RecordPause(tab.Get("s"), 1, serverpause.Demand{For: time.Hour}, 0, start)
	if left := tab.Get("s").PauseLeft(start); left <= 0 || left > time.Minute {
		t.Errorf("the new process pauses for %s", left)
	}
}
