package main

import (
	"bufio"
	"os"
	"os/exec"
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

// startServer starts a server process and returns its lines.
func (r *run) startServer(address, id string) (*exec.Cmd, chan string, error) {
	cmd := exec.Command(os.Args[0], "server", address, id, serverWork.String(), "800")
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

// restartedService cuts a server off while it answers without a length. Behind the cut the server crashes after half of its answer
// and starts again under the id that it had. The half must not reach the requester as a success.
func restartedService(r *run) (bool, error) {
	ports, err := freePorts(1)
	if err != nil {
		return false, err
	}
	address, id := local(ports[0]), "i-7f3a91c2"
	server, lines, err := r.startServer(address, id)
	if err != nil {
		return false, err
	}
	link, err := newProxy(address)
	if err != nil {
		return false, err
	}
	r.store.put("servers/"+id, entry("affil-desk", link.address(), time.Now(), 1))
	r.store.publish(7, []object{noticeRoute(8000)}, []object{affilDesk()})
	hosts, err := r.startHosts(4)
	if err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	answered := make(chan *answer, 1)
	go func() { answered <- r.request(hosts[0].callers, "9c41d07be2a35f68") }()
	for line := range lines {
		if strings.HasPrefix(line, "runs") {
			break
		}
	}
	if r.trouble {
		time.Sleep(serverWork / 4)
		link.cut()
		r.note("the server is cut off")
		for line := range lines {
			if strings.HasPrefix(line, "half sent") {
				break
			}
		}
		_ = server.Process.Kill()
		_ = server.Wait()
		r.note("the server has crashed behind the cut")
		time.Sleep(restartTime)
		if _, _, err := r.startServer(address, id); err != nil {
			return false, err
		}
		r.store.put("servers/"+id, entry("affil-desk", link.address(), time.Now(), 1))
		r.note("the server has started again under its id, and its entry has the new start")
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
