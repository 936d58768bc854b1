// Package netrpc runs net/rpc between the processes of the fleet. Both sides of a
// connection first prove that they know the shared secret. The connections count
// their bytes.
package netrpc

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"io"
	"net"
	"time"

	"github.com/pkg/errors"
)

// Parameters of the handshake.
const (
	nonceBytes       = 16
	handshakeTimeout = 2 * time.Second
)

// Secret is the key that all processes of the fleet share.
type Secret []byte

// proof returns the MAC of side and nonce. side is the side that proves the secret.
// It is included so that a peer can't return our own proof as its proof.
func (s Secret) proof(side string, nonce []byte) []byte {
	mac := hmac.New(sha256.New, s)
	mac.Write([]byte(side))
	mac.Write(nonce)
	return mac.Sum(nil)
}

// handshake proves the secret to the peer and verifies the peer's proof.
func (s Secret) handshake(conn net.Conn, side, peer string) error {
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return errors.Wrap(err, "set handshake deadline")
	}
	nonce := make([]byte, nonceBytes)
	if _, err := rand.Read(nonce); err != nil {
		return errors.Wrap(err, "read nonce")
	}
	if _, err := conn.Write(nonce); err != nil {
		return errors.Wrap(err, "send nonce")
	}
	peerNonce := make([]byte, nonceBytes)
	if _, err := io.ReadFull(conn, peerNonce); err != nil {
		return errors.Wrap(err, "read peer's nonce")
	}
	if _, err := conn.Write(s.proof(side, peerNonce)); err != nil {
		return errors.Wrap(err, "send proof")
	}
	peerProof := make([]byte, sha256.Size)
	if _, err := io.ReadFull(conn, peerProof); err != nil {
		return errors.Wrap(err, "read peer's proof")
	}
	if !hmac.Equal(peerProof, s.proof(peer, nonce)) {
		return errors.New("peer does not know the shared secret")
	}
	return errors.Wrap(conn.SetDeadline(time.Time{}), "clear handshake deadline")
}
