package secure

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync/atomic"

	"github.com/juju/errors"
)

// Digest is the SHA-256 of a bearer key. Keys themselves are never held.
type Digest [sha256.Size]byte

// ParseDigest reads a digest in hexadecimal.
func ParseDigest(s string) (Digest, bool) {
	var d Digest
	raw, err := hex.DecodeString(s)
	if err != nil || len(raw) != len(d) {
		return d, false
	}
	copy(d[:], raw)
	return d, true
}

// Matches compares a key with the digest in constant time. No key matches nothing.
func (d Digest) Matches(key string) bool {
	if key == "" {
		return false
	}
	sum := sha256.Sum256([]byte(key))
	return subtle.ConstantTimeCompare(sum[:], d[:]) == 1
}

const bearerPrefix = "Bearer "

// BearerKey returns the key of a request's Authorization header; empty for none.
func BearerKey(h http.Header) string {
	key, ok := strings.CutPrefix(h.Get("Authorization"), bearerPrefix)
	if !ok {
		return ""
	}
	return key
}

// SetBearerKey puts a key into a request's Authorization header; an empty key leaves the header out.
func SetBearerKey(h http.Header, key string) {
	if key != "" {
		h.Set("Authorization", bearerPrefix+key)
	}
}

// KeyFileError reports a line of a key file that is not a SHA-256 in hexadecimal. It does not quote the line.
type KeyFileError struct {
	Path string
	Line int
}

// Error implements error.
func (e *KeyFileError) Error() string {
	return fmt.Sprintf("%s:%d: must be a SHA-256 in hexadecimal", e.Path, e.Line)
}

// KeyList is a file of key digests, one a line in hexadecimal; empty lines and lines that begin with # are comments.
// It is safe for concurrent use.
type KeyList struct {
	path    string
	digests atomic.Pointer[[]Digest]
	state   fileState
}

// LoadKeyList reads a key file.
func LoadKeyList(path string) (*KeyList, error) {
	k := &KeyList{path: path}
	_, err := k.Reload()
	return k, errors.Trace(err)
}

// Allows tells whether the file has the key. All digests are compared, so the time does not tell which one matched.
func (k *KeyList) Allows(key string) bool {
	allowed := false
	for _, d := range *k.digests.Load() {
		if d.Matches(key) {
			allowed = true
		}
	}
	return allowed
}

// Reload reads the file again when it has changed. After an error the former keys stay.
func (k *KeyList) Reload() (bool, error) {
	state, err := readFiles(k.path)
	if err != nil {
		return false, errors.Trace(err)
	}
	if k.state.same(state) {
		return false, nil
	}
	digests, err := parseKeys(k.path, state[0])
	if err != nil {
		return false, errors.Trace(err)
	}
	k.digests.Store(&digests)
	k.state = state
	return true, nil
}

func parseKeys(path string, data []byte) ([]Digest, error) {
	var digests []Digest
	lines := bufio.NewScanner(bytes.NewReader(data))
	for number := 1; lines.Scan(); number++ {
		line := strings.TrimSpace(lines.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		digest, ok := ParseDigest(line)
		if !ok {
			return nil, &KeyFileError{Path: path, Line: number}
		}
		digests = append(digests, digest)
	}
	return digests, errors.Trace(lines.Err())
}

// fileState is the content of the files behind something that is reloaded.
type fileState [][]byte

func readFiles(paths ...string) (fileState, error) {
	var state fileState
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			return nil, errors.Trace(err)
		}
		state = append(state, data)
	}
	return state, nil
}

func (s fileState) same(other fileState) bool {
	if s == nil || len(s) != len(other) {
		return false
	}
	for i := range s {
		if !bytes.Equal(s[i], other[i]) {
			return false
		}
	}
	return true
}
