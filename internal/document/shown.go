package document

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
)

// maxShownName is the maximum length of a name in a log line or as the label of a metric, in bytes. Names have no limit
// themselves.
const maxShownName = 64

// shownDigits is the number of digits of the digest that ends a shortened name.
const shownDigits = 8

// ShownName returns a name for logs and metrics. Of a name that is too long it returns the begin and a digest, so that names
// that differ only later stay apart.
func ShownName(name string) string {
	if len(name) <= maxShownName {
		return name
	}
	sum := sha256.Sum256([]byte(name))
	end := "~" + hex.EncodeToString(sum[:])[:shownDigits]
	return strings.ToValidUTF8(name[:maxShownName-len(end)], "") + end
}
