package director

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	"indigochute.example/indigochute/internal/routing"
)

// This file parses the fields of a request that routing needs, and checks those that are forwarded to nodes unchanged.

const (
	maxFieldBytes = 64 // of an idempotency key or an entity tag
	idDigits      = 16 // hex digits of a request id or an object id
	partBits      = 16 // of a part number
	groupBits     = 8  // of a group number
	// maxTimeoutFactor bounds a client timeout as a multiple of the class's timeout. It is above 1 because clients measure
	// their timeout in their own way.
	maxTimeoutFactor = 2
)

// parse returns the fields that routing needs. It also checks the fields that are forwarded to nodes unchanged, so that a client
// cannot inject other fields or other requests into the message to a node.
func (r *request) parse() (routed routing.Request, err error) {
	class, ok := r.director.classes[r.message.Class]
	if !ok {
		return routed, fmt.Errorf("unknown vhost %q", r.message.Class)
	}
	routed.Class = class
	if _, err = parseID(r.message.RequestID); err != nil {
		return routed, fmt.Errorf("id: %w", err)
	}
	if routed.Object, err = parseID(r.message.Object); err != nil {
		return routed, fmt.Errorf("object: %w", err)
	}
	part, err := strconv.ParseUint(r.message.Part, 10, partBits)
	if err != nil && r.message.Part != "" {
		return routed, fmt.Errorf("%q is not a valid part number", r.message.Part)
	}
	group, err := strconv.ParseUint(r.message.Group, 10, groupBits)
	if err != nil && r.message.Group != "" {
		return routed, fmt.Errorf("%q is not a valid group number", r.message.Group)
	}
	if err = r.checkTimeoutAndKeys(r.director.config.Settings.Classes[class]); err != nil {
		return routed, err
	}
	routed.Segment, routed.Group, routed.GroupMissing = uint32(part), uint32(group), r.message.Group == ""
	routed.Deadline, routed.ClientUnproven = r.deadline, !r.client.everServed.Load()
	return routed, nil
}

// checkTimeoutAndKeys checks the timeout against that of the class, and the form of the idempotency key and the entity tag.
func (r *request) checkTimeoutAndKeys(class routing.Class) error {
	if r.message.Timeout <= 0 || r.message.Timeout > maxTimeoutFactor*class.MaxDeadline {
		return errors.New("the client timeout is missing or out of range")
	}
	keyMissing := class.Effect == routing.IdempotencyKeyed && r.message.IdempotencyKey == ""
	if keyMissing || !isPlain(r.message.IdempotencyKey) || !isPlain(r.message.ETag) {
		return errors.New("the idempotency key is missing, or the key or the entity tag is not plain ASCII")
	}
	return nil
}

// parseID parses an id as clients write it: idDigits hex digits in lower case.
func parseID(text string) (uint64, error) {
	id, err := strconv.ParseUint(text, 16, 64)
	if err != nil || len(text) != idDigits || strings.ToLower(text) != text {
		return 0, fmt.Errorf("%q is not 16 lower-case hex digits", text)
	}
	return id, nil
}

// isPlain returns whether a text can be forwarded to a node unchanged: it has at most maxFieldBytes printable ASCII characters,
// none of which is a separator.
func isPlain(text string) bool {
	if len(text) > maxFieldBytes {
		return false
	}
	for _, b := range []byte(text) {
		if b <= ' ' || b == ',' || b == '=' || b >= 0x7f {
			return false
		}
	}
	return true
}
