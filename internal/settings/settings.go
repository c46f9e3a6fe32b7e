// Package settings holds the settings of one daemon process, such as its addresses, availability zone and limits. They
// are read from a JSON file, which is checked as a whole before anything starts.
package settings

import (
	"cmp"
	"fmt"
	"maps"
	"net/netip"
	"os"
	"slices"
	"sync"
	"time"

	"carobshunt/internal/document"
	"carobshunt/internal/strictjson"

	"github.com/juju/errors"
)

// Settings configures one entry host.
type Settings struct {
	// Zone is the availability zone of this host.
	Zone string `json:"zone" jsonschema:"minLength=1,description=availability zone of this host"`
	// Region is the region that contains Zone, unless Zones names another; empty if it is not known.
	Region string `json:"region,omitempty" jsonschema:"description=region of this host; default: that of its zone in zones"`
	// Zones maps availability zones to the regions that contain them, for requests that may run only in some regions. A zone
	// that is missing belongs to no region.
	Zones map[string]string `json:"zones,omitempty" jsonschema:"description=region of each availability zone; a zone that is missing belongs to none"`
	// Listen holds the addresses on which this process listens.
	Listen Listen `json:"listen"`
	// Advertise holds the addresses at which others reach this process, where they differ from Listen.
	Advertise Advertise `json:"advertise,omitzero"`
	// Platform locates the configuration service and the host list.
	Platform Platform `json:"platform"`
	// Peers are peer addresses of entry hosts to contact until a host list names entry hosts.
	Peers []string `json:"peers,omitempty" jsonschema:"description=peer addresses tried before the host list is known"`
	// Limits bounds memory, request sizes and connections.
	Limits Limits `json:"limits,omitzero"`
	// ColdStarts bounds what all hosts together send to targets that have just started.
	ColdStarts ColdStarts `json:"cold_starts,omitzero"`
	// Capacity states what this host can carry; callers and load digests are distributed over hosts by it.
	Capacity Capacity `json:"capacity,omitzero"`
	// LookupsByCapacity makes look-ups name hosts by what they can carry; otherwise they name all alike.
	LookupsByCapacity bool `json:"lookups_by_capacity,omitempty" jsonschema:"description=whether look-ups name hosts by their capacity"`
	// StopGraceSeconds is the time from SIGTERM until the process is killed; 0 if it may take as long as it needs to stop.
	StopGraceSeconds float64 `json:"stop_grace_s,omitempty" jsonschema:"minimum=0,maximum=86400,default=0,description=seconds from SIGTERM until the process is killed; 0: a planned stop may take as long as it needs"`
	// Security configures TLS and authentication for callers, operators and peers.
	Security Security `json:"security,omitzero"`
	// Metrics configures the labels of metrics and the reference for slowdown.
	Metrics Metrics `json:"metrics,omitzero"`
	// Spillover configures how requests are sent to engines of other availability zones.
	Spillover Spillover `json:"spillover,omitzero"`
	// LogLevel is the least severe level that is logged: debug, info, warn or error.
	LogLevel string `json:"log_level,omitempty" jsonschema:"enum=debug,enum=info,enum=warn,enum=error,default=info,description=least severe level that is logged"`
}

// Spillover configures how short prompts are sent to engines of other availability zones, with a platform of kind store.
type Spillover struct {
	// Enabled is set if the load of the zones decides how many leave; otherwise each has a fixed cost.
	Enabled bool `json:"enabled" jsonschema:"description=whether the load of the availability zones decides how many short prompts leave their zone; otherwise each has a fixed cost"`
	// BytePrice is the price of a byte between zones, in answers to short prompts.
	BytePrice float64 `json:"byte_price,omitempty" jsonschema:"minimum=0,maximum=1,default=0,description=price of a byte between availability zones as a part of what an answer to a short prompt in time is worth"`
}

// Listen holds IP addresses with ports.
type Listen struct {
	Callers   string `json:"callers" jsonschema:"minLength=1,description=callers' interface"`
	Operators string `json:"operators" jsonschema:"minLength=1,description=operators' interface"`
	Peers     string `json:"peers" jsonschema:"minLength=1,description=interface for other entry hosts"`
	// Loads receives the load digests of other entry hosts as datagrams on a platform with a store; if empty, they are sent
	// in heartbeats only.
	Loads string `json:"loads,omitempty" jsonschema:"description=load digests of other entry hosts by datagram; with platform.kind store; default: in heartbeats only"`
	// Lookup and Ready serve callers' lookups and readiness checks on a platform with a store.
	Lookup string `json:"lookup,omitempty" jsonschema:"description=look-ups of callers; with platform.kind store"`
	Ready  string `json:"ready,omitempty" jsonschema:"description=readiness checks; with platform.kind store"`
}

// Advertise holds IP addresses with ports; an empty one takes the address of Listen.
type Advertise struct {
	Callers string `json:"callers,omitempty" jsonschema:"description=callers' address as others see it; default: listen.callers"`
	Peers   string `json:"peers,omitempty" jsonschema:"description=peer address as others see it; default: listen.peers"`
}

// Platform locates the platform's services.
type Platform struct {
	Address string `json:"address" jsonschema:"minLength=1,description=configuration service and host list"`
	// Kind is the platform's protocol.
	Kind PlatformKind `json:"kind,omitempty" jsonschema:"enum=documents,enum=store,default=documents,description=whether the platform publishes documents or keeps a store"`
	// Preset is the preset in force on a platform with a store, which publishes none.
	Preset *document.Preset `json:"preset,omitempty"`
}

// PlatformKind is the protocol between a platform, the hosts and their callers.
type PlatformKind string

// The kinds of platform.
const (
	// PlatformDocuments publishes documents and host lists; callers use the native interface.
	PlatformDocuments PlatformKind = "documents"
	// PlatformStore keeps configuration and targets in a key-value store; callers use plain HTTP.
	PlatformStore PlatformKind = "store"
)

// Limits bounds memory, request sizes and connections. Zero values take the defaults.
type Limits struct {
	// BodyBytes bounds the total size of the request bodies held at one time, in bytes.
	BodyBytes int64 `json:"body_bytes,omitempty" jsonschema:"minimum=1,default=268435456,description=request bodies held at one time in bytes; less where capacity.memory_mb has no room for them"`
	// RequestBytes bounds the size of one request body on the native interface, in bytes. With a platform with a store,
	// the document's limit for callers applies.
	RequestBytes int64 `json:"request_bytes,omitempty" jsonschema:"minimum=1,default=16777216,description=one request body in bytes"`
	// Records bounds the number of request records kept at one time.
	Records int `json:"records,omitempty" jsonschema:"minimum=1,default=16384,description=request records kept at one time"`
	// The bounds on open connections of each interface. ConnectionLimits returns those that hold.
	CallerConnections   int `json:"caller_connections,omitempty" jsonschema:"minimum=1,default=8192,description=connections of callers open at one time"`
	OperatorConnections int `json:"operator_connections,omitempty" jsonschema:"minimum=1,default=64,description=connections of operators open at one time"`
	PeerConnections     int `json:"peer_connections,omitempty" jsonschema:"minimum=1,default=4096,description=connections of other entry hosts open at one time"`
	LookupConnections   int `json:"lookup_connections,omitempty" jsonschema:"minimum=1,default=1024,description=connections for look-ups open at one time"`
	ReadyConnections    int `json:"ready_connections,omitempty" jsonschema:"minimum=1,default=64,description=connections for readiness checks open at one time"`
}

// ColdStarts is how far all hosts together may exceed the requests a second that a service takes at a target that has just
// started (cold_per_s of the document), in any one second.
type ColdStarts struct {
	Overshoot float64 `json:"overshoot,omitempty" jsonschema:"minimum=1,description=factor on the requests a second that a cold target takes; default: 1"`
	Slack     float64 `json:"slack,omitempty" jsonschema:"minimum=0,description=requests in any one second beside that"`
}

// Defaults of Limits and of LogLevel; the JSON schema states the same values.
const (
	DefaultBodyBytes           = 256 << 20
	DefaultRequestBytes        = 16 << 20
	DefaultRecords             = 16384
	DefaultCallerConnections   = 8192
	DefaultOperatorConnections = 64
	DefaultPeerConnections     = 4096
	DefaultLookupConnections   = 1024
	DefaultReadyConnections    = 64
	DefaultLogLevel            = "info"
)

var schema = sync.OnceValue(func() *strictjson.Schema { return strictjson.MustReflect(&Settings{}) })

// Reference returns the JSON schema of the settings, with descriptions and defaults.
func Reference() []byte { return schema().Text() }

// Load reads and checks a settings file. Its error wraps that of Parse.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Annotate(err, "settings")
	}
	s, err := Parse(data)
	return s, errors.Annotatef(err, "settings %s", path)
}

// Parse decodes and checks settings and fills in the defaults. The error for invalid settings wraps a
// *strictjson.Faults with every fault.
func Parse(data []byte) (*Settings, error) {
	s := &Settings{}
	if err := schema().Decode(data, s, func() []strictjson.Fault { return semanticFaults(s) }); err != nil {
		return nil, errors.Trace(err)
	}
	s.applyDefaults()
	return s, nil
}

// semanticFaults checks what the JSON schema can't express.
func semanticFaults(s *Settings) []strictjson.Fault {
	return slices.Concat(addressFaults(s), s.regionFaults(), s.Security.faults(), s.storeFaults())
}

// regionFaults reports zones without a region.
func (s *Settings) regionFaults() []strictjson.Fault {
	var faults []strictjson.Fault
	for _, zone := range slices.Sorted(maps.Keys(s.Zones)) {
		if s.Zones[zone] == "" {
			faults = append(faults, strictjson.Fault{Path: "/zones/" + zone, Reason: "must name a region"})
		}
	}
	return faults
}

// Regions returns the region of each zone that is known to be in one. Zones takes precedence over Region, as all hosts have
// the same.
func (s *Settings) Regions() map[string]string {
	regions := maps.Clone(s.Zones)
	if regions == nil {
		regions = make(map[string]string)
	}
	if _, listed := regions[s.Zone]; !listed && s.Region != "" {
		regions[s.Zone] = s.Region
	}
	return regions
}

// StopGrace returns the time from SIGTERM until the process is killed; 0 if it may take as long as it needs to stop.
func (s *Settings) StopGrace() time.Duration {
	return time.Duration(s.StopGraceSeconds * float64(time.Second))
}

// storeFaults reports settings that a platform with a store needs and that are missing, those that only such a platform
// uses and that are present without one, and faults of the preset.
func (s *Settings) storeFaults() []strictjson.Fault {
	isStore := s.Platform.Kind == PlatformStore
	var faults []strictjson.Fault
	for _, one := range []struct {
		path              string
		present, optional bool
	}{
		{"/listen/loads", s.Listen.Loads != "", true},
		{"/listen/lookup", s.Listen.Lookup != "", false},
		{"/listen/ready", s.Listen.Ready != "", false},
		{"/platform/preset", s.Platform.Preset != nil, false},
	} {
		switch {
		case isStore && !one.present && !one.optional:
			faults = append(faults, strictjson.Fault{Path: one.path, Reason: "is needed with a platform of kind store"})
		case !isStore && one.present:
			faults = append(faults, strictjson.Fault{Path: one.path, Reason: "has no effect without a platform of kind store"})
		}
	}
	if !isStore && s.Spillover.Enabled {
		faults = append(faults, strictjson.Fault{Path: "/spillover/enabled", Reason: "has no effect without a platform of kind store"})
	}
	if isStore && s.Platform.Preset != nil {
		faults = append(faults, s.Platform.Preset.Faults("/platform/preset")...)
	}
	return faults
}

// Example returns settings with every default filled in, for an address in the range reserved for documentation.
func Example() *Settings {
	s := &Settings{
		Zone:     "zone-a",
		Listen:   Listen{Callers: "192.0.2.1:7400", Operators: "192.0.2.1:7401", Peers: "192.0.2.1:7402"},
		Platform: Platform{Address: "192.0.2.9:7500"},
	}
	s.applyDefaults()
	return s
}

// addressFaults reports invalid addresses.
func addressFaults(s *Settings) []strictjson.Fault {
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
	return append(faults, advertiseFaults(s)...)
}

// advertiseFaults reports unspecified addresses (0.0.0.0 or ::) that would be advertised, which others can't connect to.
func advertiseFaults(s *Settings) []strictjson.Fault {
	var faults []strictjson.Fault
	for _, one := range []struct{ path, advertised string }{
		{"/advertise/callers", cmp.Or(s.Advertise.Callers, s.Listen.Callers)},
		{"/advertise/peers", cmp.Or(s.Advertise.Peers, s.Listen.Peers)},
		{"/listen/loads", s.Listen.Loads}, // peers send their digests to the address itself
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
	l.LookupConnections = cmp.Or(l.LookupConnections, DefaultLookupConnections)
	l.ReadyConnections = cmp.Or(l.ReadyConnections, DefaultReadyConnections)
	s.Metrics.applyDefaults()
	s.Platform.Kind = cmp.Or(s.Platform.Kind, PlatformDocuments)
	s.LogLevel = cmp.Or(s.LogLevel, DefaultLogLevel)
}
