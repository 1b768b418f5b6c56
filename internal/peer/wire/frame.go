package wire

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"agateward/internal/peer/codec"
)

// Times and limits of a connection.
const (
	// callTimeout bounds the writing of a message and the reading of the rest of
	// one.
	callTimeout = 2 * time.Second
	// idleTimeout is how long a connection may be without a message.
	idleTimeout = 90 * time.Second
	nonceBytes  = 32
	lengthBytes = 4
)

// proofLabel binds a proof to this protocol.
const proofLabel = "agateward peer 1"

var errKeyMismatch = errors.New("shared key does not match")

// challenge sends a nonce and checks the proof in constant time. The key itself
// is never sent.
func challenge(c net.Conn, key []byte) error {
	if err := c.SetDeadline(time.Now().Add(callTimeout)); err != nil {
		return err
	}
	nonce := make([]byte, nonceBytes)
	if _, err := rand.Read(nonce); err != nil {
		return err
	}
	if _, err := c.Write(nonce); err != nil {
		return err
	}
	got := make([]byte, sha256.Size)
	if _, err := io.ReadFull(c, got); err != nil {
		return err
	}
	if !hmac.Equal(got, proof(key, nonce)) {
		return errKeyMismatch
	}
	return c.SetDeadline(time.Time{})
}

// proveKey proves to the server that this client has the shared key.
func proveKey(c net.Conn, key []byte) error {
	if err := c.SetDeadline(time.Now().Add(callTimeout)); err != nil {
		return err
	}
	nonce := make([]byte, nonceBytes)
	if _, err := io.ReadFull(c, nonce); err != nil {
		return err
	}
	if _, err := c.Write(proof(key, nonce)); err != nil {
		return err
	}
	return c.SetDeadline(time.Time{})
}

func proof(key, nonce []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write([]byte(proofLabel))
	h.Write(nonce)
	return h.Sum(nil)
}

// writeFrame writes one message with its length in front.
func writeFrame(c net.Conn, values ...any) error {
	b, err := codec.Marshal(values...)
	if err != nil {
		return err
	}
	if len(b) > codec.MaxEncoded {
		return codec.ErrTooLarge
	}
	if err := c.SetWriteDeadline(time.Now().Add(callTimeout)); err != nil {
		return err
	}
	frame := binary.BigEndian.AppendUint32(make([]byte, 0, lengthBytes+len(b)), uint32(len(b)))
	_, err = c.Write(append(frame, b...))
	return err
}

// readFrame waits up to idle for a message, and then up to callTimeout for the
// rest of it. The length is checked before memory is allocated.
func readFrame(c net.Conn, idle time.Duration) ([]byte, error) {
	if err := c.SetReadDeadline(time.Now().Add(idle)); err != nil {
		return nil, err
	}
	var length [lengthBytes]byte
	if _, err := io.ReadFull(c, length[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(length[:])
	if n > codec.MaxEncoded {
		return nil, fmt.Errorf("frame of %d bytes: %w", n, codec.ErrTooLarge)
	}
	if err := c.SetReadDeadline(time.Now().Add(callTimeout)); err != nil {
		return nil, err
	}
	b := make([]byte, n)
	_, err := io.ReadFull(c, b)
	return b, err
}

// readBody decodes the body after the header of a frame; a nil body is skipped.
func readBody(frame []byte, body any) error {
	if body == nil {
		return nil
	}
	var h header
	return codec.Unmarshal(frame, &h, body)
}
