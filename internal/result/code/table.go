package code

import (
	"net/http"

	"agateward/ward"
)

// StatusCallerGone is the non-standard status, known from nginx, of a request
// whose caller closed the connection.
const StatusCallerGone = 499

// Codes of invalid requests, which did not run.
var (
	BadBody        = define(1001, "bad-body", ward.NotRun, http.StatusBadRequest, "correct the body")
	BodyTooLarge   = define(1002, "body-too-large", ward.NotRun, http.StatusRequestEntityTooLarge, "send a smaller body")
	UnknownModel   = define(1003, "unknown-model", ward.NotRun, http.StatusNotFound, "name a model of /v1/models")
	UnknownRoute   = define(1004, "unknown-route", ward.NotRun, http.StatusNotFound, "use a path that a route covers")
	UnknownTeam    = define(1005, "unknown-team", ward.NotRun, http.StatusForbidden, "name a configured team")
	BadTeamKey     = define(1006, "bad-team-key", ward.NotRun, http.StatusUnauthorized, "send the team's key")
	TierNotAllowed = define(1007, "tier-not-allowed", ward.NotRun, http.StatusForbidden, "ask for a tier that the team and the route allow")
	BadHeader      = define(1008, "bad-header", ward.NotRun, http.StatusBadRequest, "correct the named header")
	KeyRequired    = define(1009, "key-required", ward.NotRun, http.StatusBadRequest, "send an Idempotency-Key")
	KeyReused      = define(1010, "key-reused", ward.NotRun, http.StatusUnprocessableEntity, "use a new key for another request")
	CallerTooSlow  = define(1011, "caller-too-slow", ward.NotRun, http.StatusRequestTimeout, "send the whole request sooner")
)

// Codes of refusals under load or during a stop. The request did not run.
var (
	DeadlineUnreachable = define(2001, "deadline-unreachable", ward.NotRun, http.StatusServiceUnavailable, "ask again after Retry-After, or with a later deadline")
	Shed                = define(2002, "shed", ward.NotRun, http.StatusServiceUnavailable, "ask again after Retry-After")
	TeamLimit           = define(2003, "team-limit", ward.NotRun, http.StatusTooManyRequests, "ask again after Retry-After")
	QueueFull           = define(2004, "queue-full", ward.NotRun, http.StatusServiceUnavailable, "ask again after Retry-After")
	NoUpstream          = define(2005, "no-upstream", ward.NotRun, http.StatusServiceUnavailable, "ask again after Retry-After")
	DeadlinePassed      = define(2006, "deadline-passed", ward.NotRun, http.StatusGatewayTimeout, "ask again with a later deadline")
	Displaced           = define(2007, "displaced", ward.NotRun, http.StatusServiceUnavailable, "ask again after Retry-After")
	Stopping            = define(2008, "stopping", ward.NotRun, http.StatusServiceUnavailable, "ask again at once; another entry answers")
	NotReady            = define(2009, "not-ready", ward.NotRun, http.StatusServiceUnavailable, "ask again at once; another entry answers")
	UpstreamUnreachable = define(2010, "upstream-unreachable", ward.NotRun, http.StatusServiceUnavailable, "ask again after Retry-After")
	PromptBlocked       = define(2011, "prompt-blocked", ward.NotRun, http.StatusServiceUnavailable, "change the named part of the prompt, or ask again after Retry-After")
	RequestBlocked      = define(2012, "request-blocked", ward.NotRun, http.StatusServiceUnavailable, "change the request, or ask again after Retry-After: upstreams crash under it")
	MemoryUsed          = define(2013, "memory-used", ward.NotRun, http.StatusServiceUnavailable, "ask again after Retry-After; another entry may take it at once")
)

// Codes of requests that were dispatched.
var (
	UpstreamFailed     = define(3001, "upstream-failed", ward.Unknown, http.StatusBadGateway, "repeat only an idempotent request")
	AnswerCut          = define(3002, "answer-cut", ward.Unknown, http.StatusBadGateway, "repeat only an idempotent request")
	AnswerMismatch     = define(3003, "answer-mismatch", ward.Unknown, http.StatusBadGateway, "repeat only an idempotent request")
	AnswerLate         = define(3004, "answer-late", ward.Unknown, http.StatusGatewayTimeout, "repeat only an idempotent request")
	CallerGone         = define(3005, "caller-gone", ward.Unknown, StatusCallerGone, "none: the caller has left")
	AnswerTooLarge     = define(3006, "answer-too-large", ward.Unknown, http.StatusBadGateway, "ask for a shorter answer")
	VersionRolledBack  = define(3007, "version-taken-back", ward.Unknown, http.StatusBadGateway, "repeat only an idempotent request")
	GraceUsedUp        = define(3008, "grace-used-up", ward.Unknown, http.StatusBadGateway, "repeat only an idempotent request")
	UnconfirmedRefusal = define(3009, "unconfirmed-refusal", ward.Unknown, http.StatusBadGateway, "repeat only an idempotent request")
)

// Codes of idempotency keys.
var (
	OutcomeUnknown = define(4001, "outcome-unknown", ward.Unknown, http.StatusConflict, "settle the outcome with the service; the key never runs again")
	KeyInProgress  = define(4002, "key-in-progress", ward.Unknown, http.StatusConflict, "ask again with the same key after Retry-After")
	RecordsDown    = define(4003, "records-down", ward.NotRun, http.StatusServiceUnavailable, "ask again with the same key after Retry-After")
	RecordsBusy    = define(4004, "records-busy", ward.NotRun, http.StatusServiceUnavailable, "ask again with the same key after Retry-After")
	AnswerNotKept  = define(4005, "answer-not-kept", ward.Ran, http.StatusConflict, "read the result from the service; the key never runs again")
	KeyTooOld      = define(4006, "key-too-old", ward.NotRun, http.StatusConflict, "use a key made within the stated time")
)

// Codes of tickets and moves, for operators.
var (
	TicketSyntax      = define(5001, "ticket-syntax", ward.NotRun, http.StatusBadRequest, "correct the named lines")
	TicketInvalid     = define(5002, "ticket-invalid", ward.NotRun, http.StatusUnprocessableEntity, "correct all faults listed")
	NumberTaken       = define(5003, "number-taken", ward.NotRun, http.StatusConflict, "look at the ticket with that number, then use another number")
	NumberTooLow      = define(5004, "number-too-low", ward.NotRun, http.StatusConflict, "use a number above the one in force for each object")
	TicketStoreDown   = define(5005, "ticket-store-down", ward.NotRun, http.StatusServiceUnavailable, "submit the same ticket again later")
	AcceptanceUnknown = define(5006, "acceptance-unknown", ward.Unknown, http.StatusBadGateway, "submit the same ticket again: it is accepted once")
	NoSuchTicket      = define(5007, "no-such-ticket", ward.NotRun, http.StatusNotFound, "see ticket list")
	NoSuchMove        = define(5008, "no-such-move", ward.NotRun, http.StatusNotFound, "see move list")
	ConfigTooLarge    = define(5009, "config-too-large", ward.NotRun, http.StatusRequestEntityTooLarge, "remove objects that are no longer used")
	TicketTooLarge    = define(5010, "ticket-too-large", ward.NotRun, http.StatusRequestEntityTooLarge, "split the ticket")
)

// Codes of the operators' surface, of settings and between entries.
var (
	Unauthorized    = define(6001, "unauthorized", ward.NotRun, http.StatusUnauthorized, "send the shared key")
	SettingsInvalid = define(6002, "settings-invalid", ward.NotRun, http.StatusBadRequest, "correct all faults listed")
	ListenFailed    = define(6003, "listen-failed", ward.NotRun, http.StatusInternalServerError, "free the address or name another")
	PeerRefused     = define(6004, "peer-refused", ward.NotRun, http.StatusForbidden, "none: the message is dropped")
	NoSuchRequest   = define(6005, "no-such-request", ward.NotRun, http.StatusNotFound, "ask the entry that served it, soon after")
	BadCommand      = define(6006, "bad-command", ward.NotRun, http.StatusBadRequest, "see --help")
	EntryDown       = define(6007, "entry-down", ward.NotRun, http.StatusBadGateway, "name another entry with --entry")
)

// Internal is the code of an error that carries none.
var Internal = define(7001, "internal", ward.Unknown, http.StatusInternalServerError, "report the fault with the request id")
