package peer

import (
	"context"
	"encoding/json"
	"net"
	"net/netip"

	"carobshunt/internal/core/node"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"
)

// loadsMessage is one datagram. Loads are absolute, so that one that is lost does no harm.
type loadsMessage struct {
	Peer        string `json:"peer"`
	Incarnation string `json:"incarnation"`
	Sequence    uint64 `json:"sequence"`
	Loads       []byte `json:"loads"`
}

// Loads exchanges load digests with other hosts by datagram.
type Loads struct {
	conn        *net.UDPConn
	control     Control
	peer        string
	incarnation string
	log         hclog.Logger
}

// maxDatagram bounds a datagram, in bytes.
const maxDatagram = 60 << 10

// ListenLoads opens the address for digests of the process with that peer address and incarnation.
func ListenLoads(address, peer, incarnation string, control Control, log hclog.Logger) (*Loads, error) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, errors.Trace(err)
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(parsed))
	if err != nil {
		return nil, errors.Annotatef(err, "listen on %s", address)
	}
	return &Loads{conn: conn, control: control, peer: peer, incarnation: incarnation, log: log}, nil
}

// Send sends a digest; what can't be sent at once is lost, as datagrams are.
func (l *Loads) Send(a node.SendLoads) {
	raw, err := json.Marshal(loadsMessage{Peer: l.peer, Incarnation: l.incarnation, Sequence: a.Sequence, Loads: a.Digest})
	if err != nil || len(raw) > maxDatagram {
		l.log.Warn("load digest not sent", "bytes", len(raw), "error", err)
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

// Receive posts the digests that come, until the context ends.
func (l *Loads) Receive(ctx context.Context) error {
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
		var m loadsMessage
		if err := json.Unmarshal(buffer[:n], &m); err != nil {
			l.log.Warn("load digest not understood", "error", err.Error())
			continue
		}
		l.control.Post(node.LoadsHeard{Peer: m.Peer, Incarnation: m.Incarnation, Sequence: m.Sequence, Digest: m.Loads})
	}
}
