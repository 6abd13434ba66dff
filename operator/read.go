package operator

import (
	"net/http"

	"github.com/chervilvane/chervilvane/authenticator"
	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/unit"
)

func (s *Server) getConfig(w http.ResponseWriter, _ *http.Request, _ string) {
	text, version := s.config.State.ConfigText()
	writeJSON(w, http.StatusOK, struct {
		Version unit.Version
		Text    string
	}{version, string(text)})
}

// historyLine describes one accepted configuration in a response.
type historyLine struct {
	Version  unit.Version
	Operator string
	AtMillis clock.Millis
}

func (s *Server) configHistory(w http.ResponseWriter, _ *http.Request, _ string) {
	var lines []historyLine
	for _, h := range s.config.State.ConfigHistory() {
		lines = append(lines, historyLine{h.Version, h.Operator, h.At})
	}
	writeJSON(w, http.StatusOK, struct{ History []historyLine }{lines})
}

func (s *Server) runningVersions(w http.ResponseWriter, r *http.Request, _ string) {
	writeJSON(w, http.StatusOK, struct{ Instances []RunningVersion }{s.config.RunningVersions(r.Context())})
}

// keyLine describes one key in a response, without its hash.
type keyLine struct {
	Key       authenticator.KeyID
	Account   unit.ClientAccount
	Team      unit.Team
	Withdrawn bool
}

func (s *Server) listKeys(w http.ResponseWriter, _ *http.Request, _ string) {
	var lines []keyLine
	for _, k := range s.config.State.Keys() {
		lines = append(lines, keyLine{k.ID, k.Account, k.Team, k.Withdrawn})
	}
	writeJSON(w, http.StatusOK, struct{ Keys []keyLine }{lines})
}
