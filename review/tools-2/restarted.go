package main

import (
	"bufio"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"time"
)

const (
	answerBytes = 800
	serverWork  = 800 * time.Millisecond
	restartTime = 300 * time.Millisecond
	// cutTime is how long the server is cut off: so short that no probe of the hosts ends a channel.
	cutTime = 1200 * time.Millisecond
)

// startServer starts a server process that was born at a time, and returns its lines.
func (r *run) startServer(address, id, mode string, born time.Time) (*exec.Cmd, chan string, error) {
	cmd := exec.Command(os.Args[0], "server", address, id, mode, strconv.FormatInt(born.UnixMilli(), 10))
	cmd.Stderr = os.Stderr
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, nil, err
	}
	lines := make(chan string, 64)
	go func() {
		for scanner := bufio.NewScanner(out); scanner.Scan(); {
			r.note("server: %s", scanner.Text())
			lines <- scanner.Text()
		}
		close(lines)
	}()
	return cmd, lines, r.start(cmd)
}

// restartedService lets a server start again under the id that it had.
func restartedService(r *run) (bool, error) { return r.halfAnswer("i-7f3a91c2", modeUsual) }

// fullService lets another server start at its address, which takes no request.
func fullService(r *run) (bool, error) { return r.halfAnswer("i-02d9e6b4", modeFull) }

// halfAnswer cuts a server off while it answers without a length. Behind the cut the server crashes after half of its answer, and
// another process of the service starts at its address. The half must not reach the requester as a success.
func (r *run) halfAnswer(nextID, mode string) (bool, error) {
	ports, err := freePorts(1)
	if err != nil {
		return false, err
	}
	address, id := local(ports[0]), "i-7f3a91c2"
	born := time.Now()
	server, lines, err := r.startServer(address, id, modeUsual, born)
	if err != nil {
		return false, err
	}
	link, err := newProxy(address)
	if err != nil {
		return false, err
	}
	r.store.put("servers/"+id, entry("affil-desk", link.address(), born, 1))
	r.store.publish(7, []object{noticeRoute(8000)}, []object{affilDesk()})
	hosts, err := r.startHosts(4)
	if err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	answered := make(chan *answer, 1)
	go func() { answered <- r.notice(hosts[0].callers, "9c41d07be2a35f68") }()
	awaitLine(lines, "runs")
	if r.trouble {
		time.Sleep(serverWork / 4)
		link.cut()
		r.note("the server is cut off")
		awaitLine(lines, "half sent")
		_ = server.Process.Kill()
		_ = server.Wait()
		r.note("the server has crashed behind the cut")
		time.Sleep(restartTime)
		born = time.Now()
		if _, _, err := r.startServer(address, nextID, mode, born); err != nil {
			return false, err
		}
		if nextID != id {
			r.store.remove("servers/" + id)
		}
		r.store.put("servers/"+nextID, entry("affil-desk", link.address(), born, 1))
		r.note("a server has started at the address as %s, and its entry is in the store", nextID)
		time.Sleep(cutTime - restartTime - serverWork/4)
		link.heal()
		r.note("the cut has healed")
	}
	a := <-answered
	r.note("the requester gets %s", a)
	success := a.err == nil && a.status >= 200 && a.status < 300
	if !r.trouble && !success {
		return true, nil
	}
	return success && len(a.body) != answerBytes, nil
}

// brokenStream cuts an engine off while it answers with a stream without a length. Behind the cut it crashes in the middle of the
// stream and starts again, with as many channels as it takes. The stream must not look complete.
func brokenStream(r *run) (bool, error) {
	ports, err := freePorts(1)
	if err != nil {
		return false, err
	}
	address, id, nextID := local(ports[0]), "i-7f3a91c2", "i-02d9e6b4"
	born := time.Now()
	engine, lines, err := r.startServer(address, id, modeEngine, born)
	if err != nil {
		return false, err
	}
	link, err := newProxy(address)
	if err != nil {
		return false, err
	}
	r.store.put("servers/"+id, engineEntry(link.address(), born))
	r.store.publish(7, []object{draftRoute()}, []object{newsroom()})
	hosts, err := r.startHosts(4)
	if err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	answered := make(chan *answer, 1)
	go func() { answered <- r.draft(hosts[0].callers, "9c41d07be2a35f68") }()
	awaitLine(lines, "event 2")
	if r.trouble {
		link.cut()
		r.note("the engine is cut off")
		awaitLine(lines, "event 3")
		_ = engine.Process.Kill()
		_ = engine.Wait()
		r.note("the engine has crashed behind the cut")
		time.Sleep(restartTime)
		born = time.Now()
		if _, _, err := r.startServer(address, nextID, modeAtLimit, born); err != nil {
			return false, err
		}
		r.store.remove("servers/" + id)
		r.store.put("servers/"+nextID, engineEntry(link.address(), born))
		r.note("an engine has started at the address as %s, and its entry is in the store", nextID)
		time.Sleep(cutTime - restartTime - eventPause)
		link.heal()
		r.note("the cut has healed")
	}
	a := <-answered
	events := strings.Count(string(a.body), "\nid: ") + strings.Count(string(a.body[:min(len(a.body), 4)]), "id: ")
	r.note("the requester gets %s with %d of %d events", a, events, streamEvents)
	success := a.err == nil && a.status == 200
	if !r.trouble && !success {
		return true, nil
	}
	return success && events != streamEvents, nil
}

// awaitLine waits for a line of a server.
func awaitLine(lines chan string, prefix string) {
	for line := range lines {
		if strings.HasPrefix(line, prefix) {
			return
		}
	}
}

// engineEntry returns the entry of an engine.
func engineEntry(address string, born time.Time) object {
	e := entry("lm-newsroom", address, born, 1)
	e["slots"], e["stage"] = 16, "unified"
	e["models"] = []object{{"name": "m", "version": 1, "adapters": []string{}}}
	return e
}
