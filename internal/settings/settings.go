// Package settings is the configuration of one daemon process: its addresses, its availability zone and its
// limits, read from a JSON file that is checked whole before anything starts.
package settings

import (
	"cmp"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"sync"

	"carobshunt/internal/document"
	"carobshunt/internal/strictjson"

	"github.com/juju/errors"
)

// Settings configure one entry host.
type Settings struct {
	// Zone is the availability zone of this host.
	Zone string `json:"zone" jsonschema:"minLength=1,description=availability zone of this host"`
	// Listen are the addresses that this process serves.
	Listen Listen `json:"listen"`
	// Advertise are the addresses under which others reach this process, where they differ from Listen.
	Advertise Advertise `json:"advertise,omitzero"`
	// Platform is where the configuration service and the host list are read.
	Platform Platform `json:"platform"`
	// Peers are the peer addresses of entry hosts that are tried before the host list is known.
	Peers []string `json:"peers,omitempty" jsonschema:"description=peer addresses tried before the host list is known"`
	// Limits bound what this process holds.
	Limits Limits `json:"limits,omitzero"`
	// Security tells callers, operators and peers apart and secures their connections.
	Security Security `json:"security,omitzero"`
	// Metrics bound the label sets of metrics.
	Metrics Metrics `json:"metrics,omitzero"`
	// LogLevel is one of debug, info, warn and error.
	LogLevel string `json:"log_level,omitempty" jsonschema:"enum=debug,enum=info,enum=warn,enum=error,default=info,description=least severe level that is logged"`
}

// Listen are IP addresses with ports.
type Listen struct {
	Callers   string `json:"callers" jsonschema:"minLength=1,description=callers' interface"`
	Operators string `json:"operators" jsonschema:"minLength=1,description=operators' interface"`
	Peers     string `json:"peers" jsonschema:"minLength=1,description=interface for other entry hosts"`
	// Loads takes the load digests of other entry hosts as datagrams.
	Loads string `json:"loads,omitempty" jsonschema:"description=load digests of other entry hosts by datagram; default: in heartbeats only"`
	// Lookup and Ready answer callers' look-ups and readiness checks where the platform has interfaces of their own.
	Lookup string `json:"lookup,omitempty" jsonschema:"description=look-ups of callers; with platform.kind store"`
	Ready  string `json:"ready,omitempty" jsonschema:"description=readiness checks; with platform.kind store"`
}

// Advertise are IP addresses with ports; an empty one takes the address of Listen.
type Advertise struct {
	Callers string `json:"callers,omitempty" jsonschema:"description=callers' address as others see it; default: listen.callers"`
	Peers   string `json:"peers,omitempty" jsonschema:"description=peer address as others see it; default: listen.peers"`
}

// Platform locates the platform's services.
type Platform struct {
	Address string `json:"address" jsonschema:"minLength=1,description=configuration service and host list"`
	// Kind is what the platform speaks.
	Kind PlatformKind `json:"kind,omitempty" jsonschema:"enum=documents,enum=store,default=documents,description=whether the platform publishes documents or keeps a store"`
	// Preset is in force where the platform publishes none; with a store only.
	Preset *document.Preset `json:"preset,omitempty"`
}

// PlatformKind is what a platform speaks towards the hosts and their callers.
type PlatformKind string

// The kinds of platform.
const (
	// PlatformDocuments publishes documents and host lists; callers use the product's own interface.
	PlatformDocuments PlatformKind = "documents"
	// PlatformStore keeps a store; callers speak plain HTTP.
	PlatformStore PlatformKind = "store"
)

// Limits bound memory and sizes. A zero takes the default.
type Limits struct {
	// BodyBytes bounds the request bodies held at one time, in bytes.
	BodyBytes int64 `json:"body_bytes,omitempty" jsonschema:"minimum=1,default=268435456,description=request bodies held at one time in bytes"`
	// RequestBytes bounds one request body, in bytes.
	RequestBytes int64 `json:"request_bytes,omitempty" jsonschema:"minimum=1,default=16777216,description=one request body in bytes"`
	// Records bounds the request records kept at one time.
	Records int `json:"records,omitempty" jsonschema:"minimum=1,default=16384,description=request records kept at one time"`
	// CallerConnections, OperatorConnections and PeerConnections bound the connections open at one time.
	CallerConnections   int `json:"caller_connections,omitempty" jsonschema:"minimum=1,default=8192,description=connections of callers open at one time"`
	OperatorConnections int `json:"operator_connections,omitempty" jsonschema:"minimum=1,default=64,description=connections of operators open at one time"`
	PeerConnections     int `json:"peer_connections,omitempty" jsonschema:"minimum=1,default=4096,description=connections of other entry hosts open at one time"`
}

// Defaults of Limits.
const (
	DefaultBodyBytes           = 256 << 20
	DefaultRequestBytes        = 16 << 20
	DefaultRecords             = 16384
	DefaultCallerConnections   = 8192
	DefaultOperatorConnections = 64
	DefaultPeerConnections     = 4096
	DefaultLogLevel            = "info"
)

var schema = sync.OnceValue(func() *strictjson.Schema { return strictjson.MustReflect(&Settings{}) })

// Reference returns the JSON schema of the settings, with descriptions and defaults.
func Reference() []byte { return schema().Text() }

// Load reads and checks a settings file.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Annotate(err, "settings")
	}
	s, err := Parse(data)
	return s, errors.Annotatef(err, "settings %s", path)
}

// Parse reads settings, whole or not at all; a fault is reported as a *strictjson.Faults that has every fault.
func Parse(data []byte) (*Settings, error) {
	s := &Settings{}
	if err := schema().Decode(data, s, func() []strictjson.Fault { return contradictions(s) }); err != nil {
		return nil, errors.Trace(err)
	}
	s.applyDefaults()
	return s, nil
}

func contradictions(s *Settings) []strictjson.Fault {
	return slices.Concat(badAddresses(s), s.Security.faults(), s.storeFaults())
}

// storeFaults reports what a platform with a store needs and the settings lack.
func (s *Settings) storeFaults() []strictjson.Fault {
	if s.Platform.Kind != PlatformStore {
		return nil
	}
	var faults []strictjson.Fault
	for _, one := range []struct {
		path  string
		there bool
	}{
		{"/listen/lookup", s.Listen.Lookup != ""},
		{"/listen/ready", s.Listen.Ready != ""},
		{"/platform/preset", s.Platform.Preset != nil},
	} {
		if !one.there {
			faults = append(faults, strictjson.Fault{Path: one.path, Reason: "is needed with a platform of kind store"})
		}
	}
	if s.Platform.Preset != nil {
		faults = append(faults, s.Platform.Preset.Faults("/platform/preset")...)
	}
	return faults
}

// Example returns settings with every default filled in, for an address of the documentation's range.
func Example() *Settings {
	s := &Settings{
		Zone:     "zone-a",
		Listen:   Listen{Callers: "192.0.2.1:7400", Operators: "192.0.2.1:7401", Peers: "192.0.2.1:7402"},
		Platform: Platform{Address: "192.0.2.9:7500"},
	}
	s.applyDefaults()
	return s
}

func badAddresses(s *Settings) []strictjson.Fault {
	var faults []strictjson.Fault
	check := func(path, address string) {
		faults = append(faults, strictjson.AddressFaults(path, address)...)
	}
	check("/listen/callers", s.Listen.Callers)
	check("/listen/operators", s.Listen.Operators)
	check("/listen/peers", s.Listen.Peers)
	check("/platform/address", s.Platform.Address)
	for _, one := range []struct{ path, address string }{
		{"/listen/loads", s.Listen.Loads}, {"/listen/lookup", s.Listen.Lookup}, {"/listen/ready", s.Listen.Ready},
	} {
		if one.address != "" {
			check(one.path, one.address)
		}
	}
	if s.Advertise.Callers != "" {
		check("/advertise/callers", s.Advertise.Callers)
	}
	if s.Advertise.Peers != "" {
		check("/advertise/peers", s.Advertise.Peers)
	}
	for i, p := range s.Peers {
		check(fmt.Sprintf("/peers/%d", i), p)
	}
	return append(faults, unreachable(s)...)
}

// unreachable reports addresses that stand for all of a host's addresses where others must be told a single one.
func unreachable(s *Settings) []strictjson.Fault {
	var faults []strictjson.Fault
	for _, one := range []struct{ path, advertised string }{
		{"/advertise/callers", cmp.Or(s.Advertise.Callers, s.Listen.Callers)},
		{"/advertise/peers", cmp.Or(s.Advertise.Peers, s.Listen.Peers)},
	} {
		address, err := netip.ParseAddrPort(one.advertised)
		if err == nil && address.Addr().IsUnspecified() {
			faults = append(faults, strictjson.Fault{Path: one.path, Reason: "must be the IP address under which others reach this host"})
		}
	}
	return faults
}

func (s *Settings) applyDefaults() {
	s.Advertise.Callers = cmp.Or(s.Advertise.Callers, s.Listen.Callers)
	s.Advertise.Peers = cmp.Or(s.Advertise.Peers, s.Listen.Peers)
	l := &s.Limits
	l.BodyBytes = cmp.Or(l.BodyBytes, DefaultBodyBytes)
	l.RequestBytes = cmp.Or(l.RequestBytes, DefaultRequestBytes)
	l.Records = cmp.Or(l.Records, DefaultRecords)
	l.CallerConnections = cmp.Or(l.CallerConnections, DefaultCallerConnections)
	l.OperatorConnections = cmp.Or(l.OperatorConnections, DefaultOperatorConnections)
	l.PeerConnections = cmp.Or(l.PeerConnections, DefaultPeerConnections)
	s.Metrics.applyDefaults()
	s.Platform.Kind = cmp.Or(s.Platform.Kind, PlatformDocuments)
	s.LogLevel = cmp.Or(s.LogLevel, DefaultLogLevel)
}
