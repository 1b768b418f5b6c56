// Package settings provides the settings of one entry, which the process reads
// at its start. Configuration that may change while the fleet runs comes with
// tickets instead.
//
// # Usage
//
//	s, faults := settings.Parse("entry.jsonc", b)
//	if len(faults) > 0 {
//		return settings.Error(faults)
//	}
//
// The file is JSON with comments. All unknown keys and invalid values of a file
// are reported together, with file, line and key. Default holds the defaults.
package settings

import (
	"errors"
	"os"
	"time"

	"agateward/internal/config/strict"
	"agateward/internal/result/code"
	"agateward/ward"
)

// Settings are the settings of one entry.
type Settings struct {
	// Name is the entry's name, unique in the fleet.
	Name string `json:"name"`
	// Fleet names the fleet; entries of another fleet are refused.
	Fleet      string    `json:"fleet"`
	DataCentre string    `json:"data-centre"`
	Callers    Callers   `json:"callers"`
	Operators  Operators `json:"operators"`
	Peers      Peers     `json:"peers"`
	Platform   Platform  `json:"platform"`
	Requests   Requests  `json:"requests"`
	Records    Records   `json:"records"`
	Stop       Stop      `json:"stop"`
	Telemetry  Telemetry `json:"telemetry"`
	// Distances are round trips to other data centres; for a data centre that is
	// not listed DefaultDistance applies.
	Distances []Distance `json:"distances"`
}

// Callers are the settings of the listener for callers.
type Callers struct {
	Address string `json:"address"`
	// MaxBody and MaxHeader are in bytes, MaxConnections counts connections.
	MaxBody        int `json:"max-body"`
	MaxHeader      int `json:"max-header"`
	MaxConnections int `json:"max-connections"`
	// ReadTimeout bounds reading a request, WriteTimeout one write to a caller
	// that does not read, IdleTimeout a connection between requests.
	ReadTimeout  ward.Duration `json:"read-timeout"`
	WriteTimeout ward.Duration `json:"write-timeout"`
	IdleTimeout  ward.Duration `json:"idle-timeout"`
}

// Operators are the settings of the listener for operators.
type Operators struct {
	Address string `json:"address"`
	// Key is the shared key; KeyFile names a file that holds it instead.
	Key     string `json:"key"`
	KeyFile string `json:"key-file"`
	// Webhook is the URL to which events are posted; its host is an IP address.
	Webhook string `json:"webhook"`
}

// Peers are the settings of the traffic between entries.
type Peers struct {
	Address string `json:"address"`
	Key     string `json:"key"`
	KeyFile string `json:"key-file"`
	// Seeds are addresses of peers, used when the platform's list of instances
	// is unavailable.
	Seeds []string `json:"seeds"`
	// Interval is the time between two exchanges that an entry starts.
	Interval ward.Duration `json:"interval"`
	// MaxBytesPerSecond bounds the traffic sent and received.
	MaxBytesPerSecond int `json:"max-bytes-per-second"`
}

// Platform are the settings of the client of the platform.
type Platform struct {
	// Address is the IP address and port of the store and the list of instances.
	Address string `json:"address"`
	// Timeout bounds one call.
	Timeout ward.Duration `json:"timeout"`
}

// Requests are the settings of the request path.
type Requests struct {
	// MaxWaiting bounds the requests queued in the entry.
	MaxWaiting int `json:"max-waiting"`
	// DefaultDeadline applies to routes that set none.
	DefaultDeadline ward.Duration `json:"default-deadline"`
	MaxDeadline     ward.Duration `json:"max-deadline"`
	// ConnectTimeout bounds connecting to an upstream, ChunkTimeout the time
	// between two chunks of an answer.
	ConnectTimeout ward.Duration `json:"connect-timeout"`
	ChunkTimeout   ward.Duration `json:"chunk-timeout"`
	// MaxAnswer bounds an answer that is not a stream, in bytes.
	MaxAnswer int `json:"max-answer"`
	// ReportInterval is the time between two reads of an upstream's load.
	ReportInterval ward.Duration `json:"report-interval"`
}

// Records are the settings of the idempotency records.
type Records struct {
	// Shards is the number of store documents over which records are spread. It
	// must be the same at every entry, and must not change while records exist.
	Shards int `json:"shards"`
	// Keep is how long a record is kept.
	Keep ward.Duration `json:"keep"`
	// MaxAnswer bounds a recorded answer, in bytes.
	MaxAnswer int `json:"max-answer"`
}

// Stop are the settings of a planned stop.
type Stop struct {
	// BalancerLag is how long the entry keeps serving after it reports that it
	// is not ready.
	BalancerLag ward.Duration `json:"balancer-lag"`
	// Grace bounds the whole stop.
	Grace ward.Duration `json:"grace"`
}

// Telemetry are the settings of logs and traces.
type Telemetry struct {
	// LogLevel is "error", "info" or "debug".
	LogLevel string `json:"log-level"`
	// TraceEndpoint is the IP address and port of an OTLP/HTTP collector; empty
	// sends no traces. TraceShare is the share of requests traced, from 0 to 1.
	TraceEndpoint string  `json:"trace-endpoint"`
	TraceShare    float64 `json:"trace-share"`
	// Explain is the number of recent requests whose hops are kept for the
	// explain command.
	Explain int `json:"explain"`
}

// Distance is the round trip to another data centre.
type Distance struct {
	DataCentre string        `json:"data-centre"`
	RoundTrip  ward.Duration `json:"round-trip"`
}

// DefaultDistance is the round trip to a data centre that is not listed.
const DefaultDistance = 10 * time.Millisecond

// Default returns the default settings.
func Default() Settings {
	const (
		kilobyte = 1 << 10
		megabyte = 1 << 20
	)
	return Settings{
		Callers: Callers{
			MaxBody: 4 * megabyte, MaxHeader: 32 * kilobyte, MaxConnections: 20_000,
			ReadTimeout: seconds(15), WriteTimeout: seconds(20), IdleTimeout: seconds(90),
		},
		Peers: Peers{
			Interval: ward.Duration(250 * time.Millisecond), MaxBytesPerSecond: 16 * kilobyte,
		},
		Platform: Platform{Timeout: seconds(2)},
		Requests: Requests{
			MaxWaiting: 20_000, DefaultDeadline: seconds(60), MaxDeadline: seconds(3600),
			ConnectTimeout: seconds(1), ChunkTimeout: seconds(30), MaxAnswer: 8 * megabyte,
			ReportInterval: seconds(1),
		},
		Records:   Records{Shards: 1, Keep: seconds(86_400), MaxAnswer: 4 * kilobyte},
		Stop:      Stop{BalancerLag: seconds(3), Grace: seconds(120)},
		Telemetry: Telemetry{LogLevel: "info", TraceShare: 0.01, Explain: 4096},
	}
}

// Parse decodes and checks the settings in b. The faults hold file, line and
// key. It doesn't read key files.
func Parse(file string, b []byte) (Settings, []strict.Fault) {
	s := Default()
	doc, faults := strict.Decode(file, b, &s)
	if len(faults) > 0 {
		return s, faults
	}
	return s, check(doc, &s)
}

// Load reads a settings file and the key files that it names.
func Load(file string) (Settings, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, code.SettingsInvalid.Wrap(err, "read settings")
	}
	s, faults := Parse(file, b)
	if len(faults) > 0 {
		return s, Error(faults)
	}
	for _, k := range []struct{ file, key *string }{
		{&s.Operators.KeyFile, &s.Operators.Key},
		{&s.Peers.KeyFile, &s.Peers.Key},
	} {
		if err := readKey(*k.file, k.key); err != nil {
			return s, err
		}
	}
	return s, nil
}

// Error returns one error that lists all faults.
func Error(faults []strict.Fault) error {
	errs := make([]error, len(faults))
	for i, f := range faults {
		errs[i] = errors.New(f.String())
	}
	return code.SettingsInvalid.Wrap(errors.Join(errs...), "%d faults", len(faults))
}

func seconds(n int) ward.Duration { return ward.Duration(time.Duration(n) * time.Second) }
