// Package hostlist defines the list of hosts that the platform publishes: entry hosts and targets, live and leaving.
// The list may be out of date.
package hostlist

import (
	"strconv"
	"sync"

	"carobshunt/internal/strictjson"

	"github.com/juju/errors"
)

// Role is what a host does.
type Role string

// The roles of hosts.
const (
	RoleEntry   Role = "entry"
	RoleEngine  Role = "engine"
	RoleService Role = "service"
)

// State is the lifecycle state of a host, as published by the platform.
type State string

// The states of hosts.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// List is one version of the published list.
type List struct {
	// Version increases with every change.
	Version uint64 `json:"version" jsonschema:"minimum=1,description=rises with every change"`
	Hosts   []Host `json:"hosts"`
}

// revisionBits is the number of bits of a version that hold the revision of a store, below the number of its restores.
const revisionBits = 40

// VersionOf returns the version of a list that was read from a store at a revision, after the store has been restored from
// an older copy that many times. Both are bounded to the bits that there are for them.
func VersionOf(restores, revision uint64) uint64 {
	return min(restores, 1<<(64-revisionBits)-1)<<revisionBits | min(revision, 1<<revisionBits-1)
}

// RestoresOf returns how often the store had been restored when a list of that version was read from it; 0 for a list that
// was not read from a store.
func RestoresOf(version uint64) uint64 { return version >> revisionBits }

// MaxSlots is the maximum number of slots of a target. A target takes one request at a time on a connection, and a host has no
// more ports than that. The slots of all targets are summed.
const MaxSlots = 1 << 16

// Host is one entry of the list.
type Host struct {
	// Address is the IP address and port to which callers connect, or for a target the entry hosts.
	Address string `json:"address" jsonschema:"minLength=1,description=IP address and port where callers or for a target the entry hosts connect"`
	// Peer is the IP address and port to which other entry hosts connect; entry hosts only.
	Peer  string `json:"peer,omitempty" jsonschema:"description=IP address and port where other entry hosts connect; entry hosts only"`
	Zone  string `json:"zone" jsonschema:"minLength=1,description=availability zone"`
	Role  Role   `json:"role" jsonschema:"enum=entry,enum=engine,enum=service,description=what the host does"`
	State State  `json:"state" jsonschema:"enum=live,enum=leaving,description=the host's place in its life"`
	// Models are the models that an engine serves, or the name of a plain service.
	Models []string `json:"models,omitempty" jsonschema:"description=models or a service's name that the target answers for"`
	// MemoryTokens is an engine's KV cache memory in tokens.
	MemoryTokens int64 `json:"memory_tokens,omitempty" jsonschema:"minimum=0,maximum=1099511627776,description=an engine's KV memory in tokens"`
	// Instance names the target that has the address now. On a platform with a store, requests carry it, and a target
	// refuses those for another instance.
	Instance string `json:"instance,omitempty" jsonschema:"description=name of the target that has the address now"`
	// Start identifies the current run of the target's process, for example by the Unix time in milliseconds; a later start has a greater
	// value. A process that was listed as leaving is not used again. 0 if it is not known: then the list is believed as it is.
	Start int64 `json:"start,omitempty" jsonschema:"minimum=0,description=start of the target; greater for a later start"`
	// Slots is the number of requests that the target works on at a time, at most MaxSlots.
	Slots int64 `json:"slots,omitempty" jsonschema:"minimum=0,maximum=65536,description=requests that the target works on at a time"`
	// Cold is set while the target has just started, is slow and takes few requests: see document.Service.ColdPerSecond.
	Cold bool `json:"cold,omitempty" jsonschema:"description=whether the target has just started and takes few requests"`
	// ChecksFencing reports whether an engine refuses orders with an old fencing number.
	ChecksFencing bool `json:"checks_fencing,omitempty" jsonschema:"description=whether an engine refuses an order with an old fencing number"`
}

var schema = sync.OnceValue(func() *strictjson.Schema { return strictjson.MustReflect(&List{}) })

// Parse decodes a list. Its error wraps a *strictjson.Faults that lists every fault of an invalid list.
func Parse(data []byte) (*List, error) {
	list := &List{}
	if err := schema().Decode(data, list, func() []strictjson.Fault { return addressFaults(list) }); err != nil {
		return nil, errors.Trace(err)
	}
	return list, nil
}

// addressFaults returns the faults of addresses, whose form the schema does not check.
func addressFaults(list *List) []strictjson.Fault {
	var faults []strictjson.Fault
	check := func(i int, field, address string) {
		if strictjson.IsAddress(address) {
			return
		}
		faults = append(faults, strictjson.AddressFaults(hostPath(i, field), address)...)
	}
	for i := range list.Hosts {
		h := &list.Hosts[i]
		check(i, "address", h.Address)
		if h.Role == RoleEntry {
			check(i, "peer", h.Peer)
		}
	}
	return faults
}

func hostPath(i int, field string) string { return "/hosts/" + strconv.Itoa(i) + "/" + field }

// Reference returns the JSON schema of a list.
func Reference() []byte { return schema().Text() }
