package surface

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"agateward/internal/operator/notice"
	"agateward/internal/result/code"
	"agateward/ward"

	"github.com/julienschmidt/httprouter"
)

// keepAlive is the time between comments on an idle stream of events.
const keepAlive = 15 * time.Second

// MoveView is a move with its state and, if requested by name, its events.
type MoveView struct {
	Move   ward.Move         `json:"move"`
	State  ward.MoveState    `json:"state"`
	Events []notice.Numbered `json:"events,omitempty"`
}

// views returns the current moves with their states.
func (s *Surface) views() []MoveView {
	cfg := s.Config()
	if cfg == nil {
		return []MoveView{}
	}
	states := s.Moves()
	views := make([]MoveView, 0, len(cfg.Moves))
	for _, m := range cfg.Moves {
		v := MoveView{Move: m, State: ward.MoveState{Move: m.Name, State: "waiting"}}
		for _, st := range states {
			if st.Move == m.Name {
				v.State = st
			}
		}
		views = append(views, v)
	}
	return views
}

func (s *Surface) moves(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	s.reply(w, "moves-listed", s.views(), nil)
}

func (s *Surface) move(w http.ResponseWriter, _ *http.Request, p httprouter.Params) {
	for _, v := range s.views() {
		if v.Move.Name != p.ByName("name") {
			continue
		}
		events, _ := s.EventLog.After(0)
		for _, e := range events {
			if e.Move == v.Move.Name {
				v.Events = append(v.Events, e)
			}
		}
		s.reply(w, "move-shown", v, nil)
		return
	}
	s.refuse(w, "move-shown", code.NoSuchMove.New("no move %q is in force", p.ByName("name")))
}

// events streams the event log until the operator disconnects.
func (s *Surface) events(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	seq, err := strconv.Atoi(r.URL.Query().Get("after"))
	if err != nil && r.URL.Query().Get("after") != "" {
		s.refuse(w, "events-streamed", code.BadCommand.New("after is not a whole number"))
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	rc := http.NewResponseController(w)
	// The stream lasts longer than the listener's write timeout, so each write
	// gets its own deadline.
	for {
		events, more := s.EventLog.After(seq)
		_ = rc.SetWriteDeadline(s.Clock.Now().Add(keepAlive))
		for _, e := range events {
			b, err := json.Marshal(e)
			if err != nil {
				return
			}
			if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", e.Seq, b); err != nil {
				return
			}
			seq = e.Seq
		}
		if rc.Flush() != nil || !s.wait(w, r, more) {
			return
		}
	}
}

// wait returns true when there are more events or after a keep-alive comment,
// and false when the operator has disconnected.
func (s *Surface) wait(w http.ResponseWriter, r *http.Request, more <-chan struct{}) bool {
	t := time.NewTimer(keepAlive)
	defer t.Stop()
	select {
	case <-more:
		return true
	case <-t.C:
		_, err := fmt.Fprint(w, ": alive\n\n")
		return err == nil
	case <-r.Context().Done():
		return false
	}
}
