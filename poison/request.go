package poison

import (
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// digestBytes is the length of the digest in the ID of a Request key.
const digestBytes = 16

// Identity is what makes two requests the same.
type Identity struct {
	Account string
	Method  string
	Host    string
	// Target is the path and the query as the caller wrote them.
	Target string
	// Body is the body, or its beginning, and Rest what follows it.
	Body []byte
	Rest [][]byte
}

// head returns what precedes the body, in a form that no other head has.
func (i Identity) head() string {
	var b strings.Builder
	for _, v := range []string{i.Account, i.Method, i.Host, i.Target} {
		b.WriteString(strconv.Quote(v))
	}
	return b.String()
}

// HeadKey returns a key that all requests with another body share. It costs little, and stands for the request where the
// digest of a long body isn't needed.
func (i Identity) HeadKey() Key {
	return Key{Kind: Request, ID: strconv.FormatUint(xxhash.Sum64String(i.head()), 16)}
}

// Key returns the key of the request: that of its head, and a digest of all of it.
func (i Identity) Key() Key {
	d := sha256.New()
	d.Write([]byte(i.head()))
	d.Write(i.Body)
	for _, p := range i.Rest {
		d.Write(p)
	}
	k := i.HeadKey()
	k.ID += digestSeparator + hex.EncodeToString(d.Sum(nil)[:digestBytes])
	return k
}

// digestSeparator precedes the digest in the ID of a Request key.
const digestSeparator = "-"

// headKey returns the HeadKey of the request of a key. Of a Part it is the key itself.
func (k Key) headKey() Key {
	k.ID, _, _ = strings.Cut(k.ID, digestSeparator)
	return k
}
