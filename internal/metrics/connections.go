package metrics

import "github.com/prometheus/client_golang/prometheus"

// Connections are the connection counts of a listener: those open now, and those refused, or closed for new ones, since it started.
type Connections interface {
	Open() int64
	Refused() uint64
	Displaced() uint64
}

// WatchListener registers the connection counts of an interface. It panics if called twice for one name.
func (m *Metrics) WatchListener(name string, c Connections) {
	labels := prometheus.Labels{"interface": name}
	m.registry.MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: namespace, Name: "connections", Help: "Connections open now.", ConstLabels: labels,
		}, func() float64 { return float64(c.Open()) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Namespace: namespace, Name: "connections_refused_total", Help: "Connections closed at once: too many were open.",
			ConstLabels: labels,
		}, func() float64 { return float64(c.Refused()) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Namespace: namespace, Name: "connections_displaced_total", Help: "Connections without a request closed for new ones.",
			ConstLabels: labels,
		}, func() float64 { return float64(c.Displaced()) }),
	)
}

// Memory is a budget of memory: the bytes that it holds, and how many messages were given up for want of them.
type Memory interface {
	Held() int64
	GivenUp() uint64
}

// WatchHeads registers the memory that heads of requests take. It panics if called twice.
func (m *Metrics) WatchHeads(heads Memory) {
	m.watchMemory(heads,
		prometheus.Opts{Name: "head_bytes", Help: "Memory that heads of requests take now, in bytes, at most."},
		prometheus.Opts{Name: "heads_given_up_total", Help: "Heads of requests given up for want of memory on this host."})
}

// WatchAnswers registers the memory that answers of targets take. It panics if called twice.
func (m *Metrics) WatchAnswers(answers Memory) {
	m.watchMemory(answers,
		prometheus.Opts{Name: "answer_bytes", Help: "Memory that answers of targets take now, in bytes."},
		prometheus.Opts{Name: "answers_given_up_total", Help: "Answers of targets given up for want of memory on this host."})
}

// watchMemory registers the bytes that a budget holds and the messages that it has given up.
func (m *Metrics) watchMemory(memory Memory, held, givenUp prometheus.Opts) {
	held.Namespace, givenUp.Namespace = namespace, namespace
	m.registry.MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts(held), func() float64 { return float64(memory.Held()) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts(givenUp), func() float64 { return float64(memory.GivenUp()) }),
	)
}

// Traffic holds the numbers of bytes received and sent.
type Traffic interface {
	In() uint64
	Out() uint64
}

// WatchPeerTraffic registers the bytes exchanged with other entry hosts. It panics if called twice.
func (m *Metrics) WatchPeerTraffic(t Traffic) {
	for _, one := range []struct {
		direction string
		read      func() uint64
	}{{"in", t.In}, {"out", t.Out}} {
		m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
			Namespace: namespace, Name: "peer_bytes_total", Help: "Bytes exchanged with other entry hosts, on the wire.",
			ConstLabels: prometheus.Labels{"direction": one.direction},
		}, func() float64 { return float64(one.read()) }))
	}
}
