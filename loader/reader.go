package loader

import (
	"net/netip"
	"net/url"
	"regexp"
	"strings"

	"github.com/chervilvane/chervilvane/decoder"
	"github.com/chervilvane/chervilvane/unit"
)

// maxTextBytes bounds the length of a path, URL, address or key hash.
const maxTextBytes = 1024

// reader fills the settings from the file. It keeps the values that are checked
// only after the whole file has been read.
type reader struct {
	settings Settings
	root     decoder.Value

	instance, availabilityZone, dataFolder, peers, tls decoder.Value
	timingValues                                       timingValues
	// instanceValues and addressValues map the names and addresses of the
	// peers to their first value, to find repeated ones.
	instanceValues, addressValues map[string]decoder.Value
}

func (r *reader) read() {
	s := &r.settings
	r.root.Object(decoder.Fields{
		"Instance":         func(v decoder.Value) { r.instance = v; s.Instance = unit.Instance(v.Name()) },
		"AvailabilityZone": func(v decoder.Value) { r.availabilityZone = v; s.AvailabilityZone = unit.AvailabilityZone(v.Name()) },
		"Listen":           r.readListen,
		"DataFolder":       func(v decoder.Value) { r.dataFolder = v; s.DataFolder = readPath(v) },
		"Peers":            r.readPeers,
		"TLS":              r.readTLS,
		"Operators":        r.readOperators,
		"Log":              r.readLog,
		"Trace":            r.readTrace,
		"Timing":           r.readTiming,
		"Limits":           r.readLimits,
	}, "Instance", "AvailabilityZone", "Listen", "Peers")
	r.checkSelf()
	r.checkVoters()
	r.checkTLS()
	r.checkTiming()
}

func (r *reader) readListen(v decoder.Value) {
	l := &r.settings.Listen
	v.Object(decoder.Fields{
		"API":  func(v decoder.Value) { l.API = readAddress(v, listenAddress) },
		"Mesh": func(v decoder.Value) { l.Mesh = readAddress(v, listenAddress) },
	}, "API", "Mesh")
}

// addressKind is the use of an address.
type addressKind int

const (
	// listenAddress is an address to listen on. Its IP may be unspecified,
	// which means all interfaces, and its port may be 0, which means any free
	// port.
	listenAddress addressKind = iota
	// peerAddress is an address that other instances connect to.
	peerAddress
)

func readAddress(v decoder.Value, kind addressKind) string {
	const want = "an address like 10.0.0.1:7400 or [fd00::1]:7400 (IP:PORT, no host name)"
	s := v.TextMatching(maxTextBytes, want, func(s string) bool {
		a, err := netip.ParseAddrPort(s)
		return err == nil && !a.Addr().IsMulticast()
	})
	if s == "" {
		return ""
	}
	a := netip.MustParseAddrPort(s)
	if kind == peerAddress && (a.Port() == 0 || a.Addr().IsUnspecified()) {
		v.Reject("%s can't be connected to; want the IP number of the instance and a port from 1 to 65535", a)
		return ""
	}
	return a.String()
}

func readPath(v decoder.Value) string {
	return v.TextMatching(maxTextBytes, "the path of a file or folder", func(s string) bool {
		return s != "" && !strings.ContainsRune(s, 0)
	})
}

func (r *reader) readTLS(v decoder.Value) {
	r.tls = v
	t := &r.settings.TLS
	v.Object(decoder.Fields{
		"Authority":   func(v decoder.Value) { t.Authority = readPath(v) },
		"Certificate": func(v decoder.Value) { t.Certificate = readPath(v) },
		"Key":         func(v decoder.Value) { t.Key = readPath(v) },
	}, "Authority", "Certificate", "Key")
}

var keyHashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

func (r *reader) readOperators(v decoder.Value) {
	names, hashes := map[string]decoder.Value{}, map[string]decoder.Value{}
	v.List(func(v decoder.Value) {
		var o Operator
		v.Object(decoder.Fields{
			"Name": func(v decoder.Value) {
				o.Name = v.Name()
				rejectRepeated(names, v, o.Name)
			},
			"KeyHash": func(v decoder.Value) {
				o.KeyHash = readKeyHash(v)
				rejectRepeated(hashes, v, o.KeyHash)
			},
		}, "Name", "KeyHash")
		r.settings.Operators = append(r.settings.Operators, o)
	})
}

func readKeyHash(v decoder.Value) string {
	return v.TextMatching(maxTextBytes, "the SHA-256 of the key as 64 lower-case hexadecimal digits", keyHashPattern.MatchString)
}

// rejectRepeated rejects a text that is in seen already and otherwise adds it
// with its value.
func rejectRepeated(seen map[string]decoder.Value, v decoder.Value, s string) {
	if s == "" {
		return
	}
	if first, repeated := seen[s]; repeated {
		v.Reject("%s stands at %s in line %d already", s, first.Path(), first.Line())
		return
	}
	seen[s] = v
}

func (r *reader) readLog(v decoder.Value) {
	v.Object(decoder.Fields{
		"Level": func(v decoder.Value) { r.settings.Log.Level = v.Choice("Debug", "Info", "Warn", "Error") },
	})
}

func (r *reader) readTrace(v decoder.Value) {
	t := &r.settings.Trace
	v.Object(decoder.Fields{
		"File": func(v decoder.Value) { t.File = readPath(v) },
		"OTLP": func(v decoder.Value) { t.OTLP = readURL(v) },
	})
}

func readURL(v decoder.Value) string {
	return v.TextMatching(maxTextBytes, "the URL of an OTLP/HTTP collector like http://10.0.0.1:4318", func(s string) bool {
		u, err := url.Parse(s)
		return err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != ""
	})
}
