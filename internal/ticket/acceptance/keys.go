package acceptance

import "strconv"

// KeyConfig is the store's key of the configuration.
const KeyConfig = "config"

// KeyTicket returns the store's key of a ticket's record.
func KeyTicket(number uint64) string { return "ticket/" + strconv.FormatUint(number, 10) }

// KeyMove returns the store's key of a move's record.
func KeyMove(move string) string { return "move/" + move + "/state" }

// LeaseMove returns the name of the lease that the holder of a move needs.
func LeaseMove(move string) string { return "move/" + move }
