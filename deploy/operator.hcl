# The operator's own file: what the platform's configuration does not know of. Nothing here is on unless it is written.
# magpieglade config check FILE names each mistake; magpieglade serve --operator FILE starts with it.

# How far the clocks of machines may differ. Positions of members from further ahead are not believed. Default "0s".
clock_error = "0s"

# What a session wrote through any gateway is seen through all: docs/sessions.md.
sessions {
  source = "covered" # "fenced": ask the primary for each read; "own": this gateway's own writes alone, unsound

  # What clients bring as after=: "hints" may raise what a read must see, "complete" covers all that its session wrote,
  # "signed" the same, for tokens that a gateway gave (parameter session_token, brought back as at=). Default "hints".
  tokens = "hints"

  span        = "10s"  # a watermark is kept for so long, then its group's floor takes its place
  key_span    = "60s"  # the key of a write that was sent is known for so long
  most_marks  = 100000 # about 100 bytes each
  fence_wait  = "50ms" # another read goes to a primary that has not answered the last; longer where its reads take longer
  retry_after = "200ms" # what clients are told whose reads could not be covered in their time

  # Other gateways, by UDP.
  # peers {
  #   listen           = "10.0.0.4:7946"
  #   gateways         = ["10.0.0.4:7946", "10.0.0.5:7946"] # all of them, in the same order everywhere
  #   messages_per_txn = 4
  #   peer_wait        = "10ms"  # a question to all may take so long, then the primary is asked
  #   keepalive        = "250ms" # each is asked at least this often
  #   positions        = false   # true: gateways tell each other the positions of members: docs/migration.md
  #   key "2" { file = "peer-2.key" }         # signs; hexadecimal, 16 bytes or more
  #   key "1" { variable = "MAGPIEGLADE_KEY" } # still valid
  # }

  # Watermarks over a restart.
  # ledger {
  #   folder        = "/var/lib/magpieglade"
  #   before_answer = "none" # "process": an entry is with the kernel before its write is answered
  #   at_most       = "20ms" # but no answer waits longer
  # }
}

# Gateways agree on one version of what follows, with leases and a stated time for contradictions: docs/agreement.md. It takes the
# place of changes.
# agreement {
#   listen            = "10.0.0.4:7946"  # as that of sessions' peers, if there are any
#   address           = "10.0.0.4:7946"  # at which others reach it; usually listen
#   ask               = ["10.0.0.4:7946", "10.0.1.4:7946", "10.0.2.4:7946"] # who votes
#   folder            = "/var/lib/magpieglade/agreement" # of a gateway that is to vote
#   zone              = "a"
#   lease             = "2500ms" # lease + clock_error + turn: versions contradict each other for no longer
#   clock_error       = "250ms"
#   turn              = "250ms"
#   share             = 0.25    # of the gateways that try what contradicts nothing before all have it; without it all do at once
#   without_agreement = "decline" # "serve": txns that a route rules, at a gateway that can't renew
#   key "1" { file = "peer-1.key" }
# }

# What gateways choose together: docs/fleet.md. It needs an agreement, and the same values at all.
# coordination {
#   subset      = 4       # members of a group that a gateway has at the least; 0, the usual value, is all
#   connections = 20      # gateways that a member has at the least
#   away        = 1       # of a gateway's members those in other zones
#   signals     = true    # gateways tell each other what they learn of members
#   turns       = true    # one probes a member, or asks a list service that is down, for all
#   wait        = "300ms" # for its completion notice
# }

# What follows can be changed while a gateway runs: docs/configuration.md.

# control = "/run/magpieglade/control"  # magpieglade config apply|status|history|keep|undo --control ...
# changes = "/var/lib/magpieglade/changes" # where changes outlive the process
# watch   = "30s" # a change is undone by itself within this, if health worsens

# log     = "info" # the least level that is logged

# in_flight = 500 # txns of all tenants at the most
# exclude   = ["s-5be2a07c"] # these members get nothing new; drain is the same by another name

# tenant "portal" {
#   weight    = 2    # of its share of in_flight
#   in_flight = 400  # its own share and what it borrows
#   bytes     = 1000000
#   rate      = 200  # txns a second
#   burst     = 20
#   connections = 100 # of its clients
#   fleet     = true  # in_flight, bytes, rate and connections are of all gateways together, in leased allocations: docs/fleet.md
#   without_agreement = "serve" # its txns at a gateway that can't renew what the fleet agreed on
# }

# route "reports" { # the first that matches counts
#   types     = ["my-report"] # conditions; those that are not written hold for all
#   users     = ["portal"]
#   databases = ["crm"]
#   tables    = ["facts"]
#   networks  = ["10.0.0.0/8"]
#   type      = "my-report" # the txn type that it runs as
#   tenant    = "portal"
#   expiry    = "2s"
#   aim       = "300ms" # a shorter SLA time
#   zones     = ["a"]   # its reads go there while a member there is well
#   groups    = [0]     # what names another cluster is rejected
#   retries   = 0.1 # repeated submissions as a share of first ones
# }
