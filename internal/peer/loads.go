package peer

import (
	"context"
	"net"
	"net/netip"
	"time"

	"carobshunt/internal/core/conf"
	"carobshunt/internal/core/loadshare"
	"carobshunt/internal/core/node"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"
)

// loadsMessage is the content of one datagram in the plain form, in CBOR. Loads are absolute values, not changes, so a lost
// datagram needs no repair.
type loadsMessage struct {
	_ struct{} `cbor:",toarray"`
	// From is the sender's peer address.
	From    string
	Hop     loadshare.Hop
	Digests []digestMessage
}

type digestMessage struct {
	_           struct{} `cbor:",toarray"`
	Peer        string
	Incarnation string
	Sequence    uint64
	Loads       []byte
	// AgeMs is the time since the platform answered the host, in milliseconds; negative for never.
	AgeMs  int64
	Config versionMessage
	Hosts  versionMessage
}

type versionMessage struct {
	_        struct{} `cbor:",toarray"`
	Revision uint64
	Digest   uint64
}

func (v versionMessage) version() conf.Version {
	return conf.Version{Revision: v.Revision, Digest: v.Digest}
}

// newLoadsMessage returns the content of a datagram in the plain form from the host with the peer address from.
func newLoadsMessage(from string, b *loadshare.Bundle) loadsMessage {
	out := loadsMessage{From: from, Hop: b.Hop}
	for i := range b.Digests {
		d := &b.Digests[i]
		m := digestMessage{
			Peer: d.Peer, Incarnation: d.Incarnation, Sequence: d.Sequence, Loads: d.Loads, AgeMs: ageMs(d.Freshness.Age),
			Config: versionMessage{Revision: d.Freshness.Config.Revision, Digest: d.Freshness.Config.Digest},
			Hosts:  versionMessage{Revision: d.Freshness.Hosts.Revision, Digest: d.Freshness.Hosts.Digest},
		}
		out.Digests = append(out.Digests, m)
	}
	return out
}

// ageMs returns an age in milliseconds; -1 for never, which is any negative age.
func ageMs(age time.Duration) int64 {
	if age < 0 {
		return -1
	}
	return age.Milliseconds()
}

// errUnknownHop is the error for a datagram with a Hop that this version does not know.
const errUnknownHop = errors.ConstError("unknown hop")

func isKnownHop(hop loadshare.Hop) bool {
	return hop >= loadshare.HopFinal && hop <= loadshare.HopToZone
}

// encodeLoads returns a datagram from the host with the peer address from.
func encodeLoads(from string, b *loadshare.Bundle, compact bool) ([]byte, error) {
	var content any = newLoadsMessage(from, b)
	if compact {
		content = newCompactMessage(from, b)
	}
	raw, err := cbor.Marshal(content)
	return raw, errors.Trace(err)
}

// decodeLoads returns the input for the control loop that a datagram of either form carries.
func decodeLoads(raw []byte) (node.LoadsReceived, error) {
	if len(raw) > 0 && raw[0] == compactHead {
		return decodeCompact(raw)
	}
	var m loadsMessage
	if err := cbor.Unmarshal(raw, &m); err != nil {
		return node.LoadsReceived{}, errors.Trace(err)
	}
	if !isKnownHop(m.Hop) {
		return node.LoadsReceived{}, errors.Annotatef(errUnknownHop, "%d", m.Hop)
	}
	in := node.LoadsReceived{From: m.From, Bundle: loadshare.Bundle{Hop: m.Hop}}
	for i := range m.Digests {
		d := &m.Digests[i]
		in.Bundle.Digests = append(in.Bundle.Digests, loadshare.Digest{
			Peer: d.Peer, Incarnation: d.Incarnation, Sequence: d.Sequence, Loads: d.Loads,
			Freshness: loadshare.Freshness{
				Age:    time.Duration(d.AgeMs) * time.Millisecond,
				Config: d.Config.version(),
				Hosts:  d.Hosts.version(),
			},
		})
	}
	return in, nil
}

// LoadExchange sends and receives load digests of entry hosts by datagram.
type LoadExchange struct {
	conn    *net.UDPConn
	control Control
	peer    string
	log     hclog.Logger
}

// maxDatagram is the maximum size of a datagram, in bytes.
const maxDatagram = 60 << 10

// ListenLoads listens for digests on address, an IP address and port. What the result sends names peer, the peer address of
// this process, as the sender.
func ListenLoads(address, peer string, control Control, log hclog.Logger) (*LoadExchange, error) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, errors.Trace(err)
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(parsed))
	if err != nil {
		return nil, errors.Annotatef(err, "listen on %s", address)
	}
	return &LoadExchange{conn: conn, control: control, peer: peer, log: log}, nil
}

// Send sends a bundle to each of the action's hosts. It logs errors and does not retry: datagrams may get lost anyway.
func (l *LoadExchange) Send(a node.SendLoads) {
	raw, err := encodeLoads(l.peer, &a.Bundle, a.Compact)
	if err != nil || len(raw) > maxDatagram {
		l.log.Warn("load digests not sent", "bytes", len(raw), "error", err)
		return
	}
	for _, to := range a.To {
		address, err := netip.ParseAddrPort(to)
		if err != nil {
			l.log.Warn("load digest not sent", "to", to, "error", err.Error())
			continue
		}
		if _, err := l.conn.WriteToUDPAddrPort(raw, address); err != nil {
			l.log.Debug("load digest not sent", "to", to, "error", err.Error())
		}
	}
}

// Receive posts received digests to the control loop until the context ends, and closes the socket then.
func (l *LoadExchange) Receive(ctx context.Context) error {
	context.AfterFunc(ctx, func() { _ = l.conn.Close() })
	buffer := make([]byte, maxDatagram)
	for {
		n, _, err := l.conn.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			l.log.Debug("load digest not received", "error", err.Error())
			continue
		}
		in, err := decodeLoads(buffer[:n])
		if err != nil {
			l.log.Warn("malformed load digest", "error", err.Error())
			continue
		}
		l.control.Post(in)
	}
}
