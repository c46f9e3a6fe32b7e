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

// Digest is the SHA-256 of a bearer key. The process never stores the accepted keys themselves.
type Digest [sha256.Size]byte

// ParseDigest parses a digest in hexadecimal and reports whether it is valid.
func ParseDigest(s string) (Digest, bool) {
	var d Digest
	raw, err := hex.DecodeString(s)
	if err != nil || len(raw) != len(d) {
		return d, false
	}
	copy(d[:], raw)
	return d, true
}

// Matches reports whether the key has this digest; the comparison takes constant time. An empty key never matches.
func (d Digest) Matches(key string) bool {
	if key == "" {
		return false
	}
	sum := sha256.Sum256([]byte(key))
	return subtle.ConstantTimeCompare(sum[:], d[:]) == 1
}

const bearerPrefix = "Bearer "

// BearerKey returns the bearer key of the Authorization header, or "" if there is none.
func BearerKey(h http.Header) string {
	key, ok := strings.CutPrefix(h.Get("Authorization"), bearerPrefix)
	if !ok {
		return ""
	}
	return key
}

// SetBearerKey sets the Authorization header to a bearer key. An empty key leaves the header as it is.
func SetBearerKey(h http.Header, key string) {
	if key != "" {
		h.Set("Authorization", bearerPrefix+key)
	}
}

// KeyFileError reports a line of a key file that is not a SHA-256 in hexadecimal. It does not quote the line, which may
// hold a key in plain text.
type KeyFileError struct {
	Path string
	Line int
}

// Error implements error.
func (e *KeyFileError) Error() string {
	return fmt.Sprintf("%s:%d: must be a SHA-256 in hexadecimal", e.Path, e.Line)
}

// KeyList is the set of key digests in a file: one per line in hexadecimal. Empty lines and lines that begin with # are
// ignored. Allows is safe for concurrent use, also during a Reload; Reload must not be called concurrently.
type KeyList struct {
	path     string
	digests  atomic.Pointer[[]Digest]
	contents fileContents
}

// LoadKeyList loads a key file.
func LoadKeyList(path string) (*KeyList, error) {
	k := &KeyList{path: path}
	_, err := k.Reload()
	return k, errors.Trace(err)
}

// Allows reports whether the list contains the key's digest. It compares all digests, so that its duration does not
// reveal which one matched.
func (k *KeyList) Allows(key string) bool {
	allowed := false
	for _, d := range *k.digests.Load() {
		if d.Matches(key) {
			allowed = true
		}
	}
	return allowed
}

// Reload implements Reloader.
func (k *KeyList) Reload() (bool, error) {
	contents, err := readFiles(k.path)
	if err != nil {
		return false, errors.Trace(err)
	}
	if k.contents.equal(contents) {
		return false, nil
	}
	digests, err := parseDigests(k.path, contents[0])
	if err != nil {
		return false, errors.Trace(err)
	}
	k.digests.Store(&digests)
	k.contents = contents
	return true, nil
}

func parseDigests(path string, data []byte) ([]Digest, error) {
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

// fileContents is the content of a Reloader's files, by which it detects changes.
type fileContents [][]byte

func readFiles(paths ...string) (fileContents, error) {
	var contents fileContents
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			return nil, errors.Trace(err)
		}
		contents = append(contents, data)
	}
	return contents, nil
}

// equal reports whether both have the same content. A nil fileContents, as before the first load, equals none.
func (s fileContents) equal(other fileContents) bool {
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
