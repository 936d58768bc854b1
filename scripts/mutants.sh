#!/usr/bin/env bash
# Breaks each mechanism on a scratch copy and expects its test to fail.
# Usage: mutants.sh [PART-OF-A-NAME]
set -euo pipefail
cd "$(dirname "$0")/.."
SCRATCH=$(mktemp -d)
trap 'rm -rf "$SCRATCH"' EXIT

survived=0
ONLY=${1:-}
# mutant NAME FILE SED-EXPRESSION PACKAGE TEST
mutant() {
	local name=$1 file=$2 edit=$3 package=$4 test=$5
	[[ "$name" == *"$ONLY"* ]] || return 0
	rm -rf "$SCRATCH/tree"
	mkdir "$SCRATCH/tree"
	git ls-files -z | xargs -0 cp --parents -t "$SCRATCH/tree"
	sed -i -E "$edit" "$SCRATCH/tree/$file"
	if cmp -s "$file" "$SCRATCH/tree/$file"; then
		echo "NOT APPLIED  $name"
		survived=$((survived + 1))
	elif (cd "$SCRATCH/tree" && go vet "./$package" >/dev/null 2>&1 && timeout 60 go test -timeout 40s -count=1 -run "$test" "./$package" >/dev/null 2>&1); then
		echo "SURVIVED     $name ($test)"
		survived=$((survived + 1))
	elif ! (cd "$SCRATCH/tree" && go vet "./$package" >/dev/null 2>&1); then
		echo "NOT BUILT    $name"
		survived=$((survived + 1))
	else
		echo "caught       $name ($test)"
	fi
}

R=internal/control/replica S=internal/control/state H=internal/control/holder
A=internal/agent E=internal/entry/agent W=internal/wire/control

mutant "a quorum bootstraps before every data folder is known" $R/members.go 's/if !m\.FoldersKnown\(\)/if false/' $R TestBootstrapNeeds
mutant "a changed data folder is accepted" $R/step.go 's/return known == m\.Identity/return true/' $R TestLostDisk
mutant "votes are granted during a leader's lease" $R/step.go 's/return now\.Sub\(c\.lastContact\) < ElectionTimeout/return false/' $R 'TestPartitionedLeader|TestSeeded|TestOneWay|TestSuspendedLeaderHasNoLease'
mutant "a leader's lease outlasts its contact with the quorum" $R/core.go 's/c\.quorumAck\(now\) < LeaderLease$/c.quorumAck(now) < 10*LeaderLease/' $R 'TestPartitionedLeader|TestSeeded|TestSuspendedLeaderHasNoLease'
mutant "log entries of older terms are committed by counting replicas" $R/step.go 's/ok \&\& term == c\.hard\.Term \{/ok \&\& term > 0 {/' $R TestOlderTerms
mutant "a vote isn't persisted" $R/ready.go 's/hardChanged := .*/hardChanged := false/' $R TestVoteIsSaved
mutant "a learner votes before it has caught up" $R/repair.go 's/case !m\.Voter \&\& c\.caughtUp\(m\.Name\) \&\& c\.folderOf.*/case !m.Voter:/' $R TestLearner
mutant "append messages aren't bounded in bytes" $R/step.go 's/min\(maxAppendBytes, maxInflightBytes-c\.inflightBytes\(p\)\)/1<<40/' $R TestMessagesToALagging
mutant "batches aren't bounded in bytes" $R/transport.go 's/ \&\& b\.bytes\(\) < maxBatchBytes//' $R TestMessagesToALagging
mutant "writes continue after a disk failure" $R/node.go 's/return n\.fail\(err\)/_ = err/' $R TestDiskFailure
mutant "review: a replica that leaves keeps its vote" $R/fewervoters.go 's/^\tc\.leaving\[name\] = .*/\t_ = leaveTimeout/' $R TestDiskLost
mutant "review: one of an even number of voters keeps its vote in silence" $R/fewervoters.go 's/if c\.members\.Voters\(\)%2 == 0 \{/if false {/' $R 'TestDiskLost'
mutant "review: a vote is given up that is needed" $R/fewervoters.go 's/return c\.members\.Voters\(\)-1 >= 2\*c\.losses\+1 \}/return true }/' internal/run/router TestStoppingRouterKeeps
mutant "review: a transfer of the leadership has no end" $R/election.go 's/if c\.transferTo != "" \&\& !now\.Before\(c\.transferUntil\) \{/if false {/' $R TestLeaderThatHandsOver
mutant "review: a learner gets the whole log" $R/step.go 's/^\tif c\.members\.IsVoter\(to\) \|\| p\.next > c\.log\.last\(\) \{/\tif true {/' $R TestNewReplicaCatchesUp
mutant "review: a stated length sizes a buffer" internal/router/caller/servercall.go 's/if response\.Length >= 0 \&\& response\.Length < partSize \{/if response.Length >= 0 {/; s/^\tdefer c\.containPanic\(\)//' internal/router/caller TestImpossible
mutant "review: invalid statuses are passed on" internal/wire/httpresponse/head.go 's/if !isInterim\(c\.status\) \&\& !IsFinal\(c\.status\) \{/if c.status < 0 {/' internal/router/caller TestImpossible
mutant "broken: a reset ends the data" internal/wire/tcp/conn.go 's/io\.EOF\) \&\& c\.IsReset\(\)/io.EOF) \&\& n < 0/' internal/wire/tcp TestReset
mutant "broken: the state of a connection isn't asked for" internal/wire/tcp/conn.go 's/info\.State == stateClosed/info.State > 99/' internal/wire/tcp TestResetIsNoEnd
mutant "broken: only a close before the status call counts" internal/router/caller/unframed.go 's/ \&\& !response\.IsReset\(\)//' internal/router/caller TestUnframedResponseThatIsResetBeforeTheStatus
mutant "broken: agents take a reset for an end" internal/wire/httpresponse/transport.go 's/c\.Conn\.Read\(p\)/c.Conn.Conn.Read(p)/; s/written != nil \&\& c\.IsReset/written == nil \&\& c.IsReset/' internal/agent/engine TestUnframedResponseThatIsReset
mutant "broken: agents await no reset after a close" internal/wire/httpresponse/transport.go 's/written != nil \&\& c\.IsReset/written == nil \&\& c.IsReset/' internal/wire/httpresponse TestTransportAwaits
mutant "broken: a list that may be cut off is whole" platform/list.go 's/p\.openEnd \&\& //' platform 'TestUnframedList|TestServers'
mutant "broken: agents pass any status on" internal/wire/httpresponse/head.go 's/if !isInterim\(c\.status\) \&\& !IsFinal\(c\.status\) \{/if c.status < 0 {/' internal/agent/engine TestResponseWithInvalidStatus
mutant "broken: heads of agents may have any status" internal/wire/exchange/message.go 's/if !httpresponse\.IsFinal\(f\.Head\.Status\) \{/if httpresponse.IsFinal(-f.Head.Status) {/' internal/wire/exchange TestChecker
mutant "broken: any byte is part of a name" internal/wire/httpresponse/head.go 's/case !isNameByte\(b\):/case b == 0:/' internal/router/server TestResponseWithUnreadableField
mutant "broken: lines may end differently" internal/wire/httpresponse/head.go 's/if c\.afterCR != c\.endsWithCR \{/if c.lines < 0 {/' internal/wire/httpresponse TestUnreadableFields
mutant "broken: a head that follows a skipped answer isn't checked from its start" internal/router/server/limit.go 's/r\.head\.Check\(alreadyRead\)/r.head.Check(nil)/' internal/router/server TestResponseWith
mutant "broken: an error in a head is forgotten" internal/wire/httpresponse/transport.go 's/if err := c\.headErr\(\); err != nil \{/if err := c.headErr(); err == nil \&\& c == nil {/' internal/wire/httpresponse TestTransportRejects
mutant "crowds: nobody yields memory" internal/wire/memory/transfer.go 's/if waits \&\& progressedAt\.Before\(before\) /if waits \&\& progressedAt.Before(before) \&\& false /' internal/wire/memory TestClientsWithoutProgress
mutant "crowds: single bytes are progress" internal/wire/memory/transfer.go 's/t\.partial >= progressBytes/t.partial > 0/' internal/wire/httpport TestBodyThatStalls
mutant "crowds: bodies may take any time" internal/wire/httpport/body.go 's/progressedAt\.Add\(c\.cfg\.StallTimeout\)/progressedAt.Add(time.Hour + c.cfg.StallTimeout)/' internal/wire/httpport TestBodyThatStalls
mutant "crowds: the rest of a refused body is awaited" internal/wire/httpport/body.go 's/if b\.ended \{$/if b.ended || b.conn != nil {/' cmd/bronzerill TestUnfinishedBodyIsAnswered
mutant "crowds: nobody yields at a full port" internal/wire/httpport/limit.go 's/c != nil \&\& c\.transfer\.Yield\(\)/c != nil \&\& false/' internal/wire/httpport TestFullPort
mutant "crowds: requests that are worked on yield" internal/wire/httpport/limit.go 's/return r != rankLast \&\& r != rankWorking/return r != rankLast/' internal/wire/httpport TestStalledClients
mutant "crowds: idle connections yield before stalled ones" internal/wire/httpport/limit.go 's/age > stallGrace:/age > time.Hour:/' internal/wire/httpport TestStalledClients
mutant "crowds: heads aren't counted" internal/wire/httpport/conn.go 's/size > usualHeadMemory \&\& /size < 0 \&\& /' internal/wire/httpport TestUnfinishedHeads
mutant "crowds: responses may take any time" internal/wire/httpport/conn.go 's/Clock\(\)\.Add\(c\.cfg\.StallTimeout\)/Clock().Add(time.Hour)/' internal/wire/httpport TestUnreadResponseEnds
mutant "crowds: copied responses aren't written in parts" internal/wire/httpport/conn.go 's/struct\{ io\.Writer \}\{c\}/c.TCPConn/' internal/wire/httpport TestSlowReader
mutant "review: bodies aren't bounded together" internal/wire/memory/budget.go 's/more > 0 \&\& used > s\.budget\.limit\(size\)/used < 0/' internal/wire/memory TestBodyThatDoesNotFit
mutant "review: a seed that is restarted knows no founders" internal/run/router/founding.go 's/^\tif len\(founders\.List\) > 0 \{/\tif false {/' internal/run/router 'TestAnswerOfASeed|TestSeedIs'
mutant "claims with an unknown outcome may run again" $S/ledger.go 's/record\.State = ClaimUnknown/record.State = ClaimReleased/' $A/service 'TestAtMostOnce|TestFaultAtEachStep'
mutant "claims of a lost process are released" $S/ledger.go 's/r\.State = ClaimUnknown/r.State = ClaimReleased/' $A/service 'TestAtMostOnce|TestFaultAtEachStep'
mutant "a late duplicate of a released claim is granted" $S/ledger.go 's/if record\.Attempt == c\.Attempt \{$/if false {/' $A/service 'TestFaultAtEachStep'
mutant "processes of older generations may claim" $S/machine.go 's/c\.Generation != m\.generations/false \&\& c.Generation != m.generations/' $A/service 'TestAtMostOnce|TestFaultAtEachStep'
mutant "a request with the same key and another body gets the stored response" $S/ledger.go 's/if record\.BodyHash != c\.BodyHash/if false/' $A/service TestOtherBody
mutant "the lease isn't checked before a call" $A/service/runner.go 's/\|\| !r\.cfg\.View\(\)\.HasLease\(r\.cfg\.Clock\(\)\)/|| false/' $A/service TestLapsedLease
mutant "the connection of a call is reused" $A/service/client.go 's/DisableKeepAlives:  true/DisableKeepAlives:  false/' $A/service 'TestClient'
mutant "a call whose response was lost counts as not sent" $A/service/client.go 's/if connected \{/if false {/' $A/service 'TestClientAgainst'
mutant "a different ticket under a used number gets the earlier outcome" $S/machine.go 's/if outcome\.Digest == digest \{/if true {/' $S 'TestTicketNumbers|TestRacing'
mutant "a ticket number can be reused" $S/machine.go 's/^\tm\.outcomes\[o\.Number\] = o/\t_ = o/' $S 'TestTicketNumbers|TestRacing'
mutant "a lease lasts longer than its term" $W/view.go 's/sentAt\.Add\(LeaseTerm\)/sentAt.Add(2 * LeaseTerm)/' $H TestLeases
mutant "revisions may decrease" ./config.go 's/if d\.To <= c\.revision \{/if d.To == c.revision {/' $H TestLeases
mutant "a revision is reported in force too early" $H/table.go 's/if l\.revision < revision \&\& now\.Before\(l\.leaseUntil\)/if l.revision < revision \&\& now.Before(l.leaseUntil) \&\& false/' $H TestLeases
mutant "a new leader counts as settled at once" $H/table.go 's/now\.Sub\(t\.termStart\) >= settleTime/true/' $H 'TestLeases|TestReportWaits'
mutant "an agent with an expired lease counts as available" $H/table.go 's/r\.State\.AcceptsRequests\(\) \&\& now\.Before\(r\.leaseUntil\)/r.State.AcceptsRequests()/' $H TestReportCounts
mutant "the load bound is doubled" $A/admission/gate.go 's/p\.LoadMultiple \* v\.MeanLoad/2 * p.LoadMultiple * v.MeanLoad/' $A/admission 'TestAdmit|TestLoadBound'
mutant "an outdated mean load is used" $A/admission/gate.go 's/now\.Sub\(v\.MeanLoadAt\) > meanMaxAge/false/' $A/admission TestAdmit
mutant "a cold server gets the slots of a warm server" $A/admission/ramp.go 's/min\(p\.Slots, p\.ColdSlots\+r\.finished\/p\.RampStep\)/p.Slots/' $A/admission 'TestAdmit|TestLoadBound|TestRamp'
mutant "a zone that is out admits requests" $A/admission/gate.go 's/case zone\.Out:/case zone.Out \&\& false:/' $A/admission TestAdmit
mutant "requests are admitted after the lease has expired" $A/admission/gate.go 's/case !v\.HasLease\(now\):/case false:/' $A/admission TestAdmit
mutant "a draining or leaving server admits requests" $A/admission/gate.go 's/case g\.draining \|\| g\.leaving \|\| v\.Leaving:/case false:/' $A/admission TestAdmit
mutant "a surge of one customer takes all slots" $A/admission/gate.go 's/\&\& g\.overShare\(r, limit\)/\&\& false/' $A/admission TestSurge
mutant "a truncated response is reported as complete" internal/wire/exchange/message.go 's/case !c\.hasHead \|\| end\.Bytes != c\.offset:/case false:/' internal/wire/exchange TestChecker
mutant "ids in response heads aren't compared" internal/wire/exchange/message.go 's/f\.Head == nil \|\| f\.Head\.ID != c\.id/f.Head == nil/' internal/wire/exchange TestChecker
mutant "an attach starts a run" $A/entry/table.go 's/if r == nil \&\& o\.Attach \{/if false {/' $E 'TestLateRequest|TestResponseIsComplete'
mutant "a replaced agent reports not run" $A/entry/server.go 's/if o\.Attach \&\& o\.Generation != s\.cfg\.Generation\(\)/if false/' $E TestAgentReplaced
mutant "a request whose response was dropped is reported as not run" $A/entry/table.go 's/kind = bronzerill\.KindOutcomeUnknown/kind = bronzerill.KindAborted/' $A/entry TestDroppedResponse
mutant "a silent connection isn't detected" $E/client.go 's/silence := time\.AfterFunc\(exchange\.SilenceTimeout/silence := time.AfterFunc(100*time.Hour/' $E TestResponseIsComplete
mutant "a stream without its end marker counts as complete" $A/engine/runner.go 's/if e\.done \{/if e.done || true {/' $A/engine TestEngineResponses
mutant "chunks of another response are accepted" $A/engine/events.go 's/if c\.ID != e\.chunkID \|\| (.*) \{/if false \&\& (c.ID != e.chunkID || \1) {/' $A/engine TestEngineResponses
mutant "the runner doesn't wait for a crash report" $A/engine/runner.go 's/^\t\tr\.awaitCrash\(ctx, generation\)/\t\t_ = generation/' $A/engine TestCrashHolds
mutant "a duplicate crash report is counted twice" $S/suspect.go 's/s\.LastCrash == crash\.ID \|\|/false ||/' $S TestCrashMakes
mutant "two trials of a pool run at once" $S/suspect.go 's/other\.Pool == s\.Pool \&\& other\.State/false \&\& other.Pool == s.Pool \&\& other.State/' $S TestCrashMakes
mutant "a second crash doesn't quarantine the suspect" $S/suspect.go 's/if s\.Crashes >= crashesToQuarantine/if false/' $S TestSecondCrash
mutant "a suspect on trial on a lost agent isn't quarantined" $S/machine.go 's/^\tm\.applySuspectChanges\(lostTrials\(m\.config, now, a\.Agent\)\)/\t_ = lostTrials/' $S 'TestTrialOnALost|TestAtMostTwo'
mutant "retries aren't limited by a budget" $E/budget.go 's/if b\.tokens < 1 \{/if false {/' $E TestBudget
mutant "an order refused by the engine as stale isn't reported as stale" $A/engine/client.go 's/case http\.StatusConflict:/case http.StatusTeapot:/' $A/engine TestOrders

P=internal/router/placement Q=internal/router/queueing V=internal/router/server C=internal/router/caller O=internal/run/router

mutant "router: queues are unbounded" $Q/service.go 's/return s\.RecentWait\(now\) > .*/return false/' $P TestOverloadServes
mutant "router: refused callers retry without jitter" $Q/service.go 's/return soonest \+ .*/return soonest/' $P TestOverloadServes
mutant "router: a surge of one customer takes all capacity" $Q/service.go 's/ratio > usualShare/ratio > 1e9/' $P TestSurge
mutant "router: less urgent requests are preferred" $Q/service.go 's/r\.Priority <= 0:/r.Priority >= 2:/; s/^\tcase r\.Priority >= 2:$/\tcase r.Priority <= 0:/' $Q TestLimit
mutant "router: stuck requests raise the estimated wait" $Q/estimate.go 's/float64\(e\.waiting\) <= standstillRatio\*max\(1, e\.count\)/e.waiting == 0/' $Q TestStuck
mutant "router: a stalled queue isn't detected" $Q/estimate.go 's/return max\(mean, e\.stalledWait\(now\)\)/return mean/' $Q TestStandstill
mutant "router: cache reports of engines are ignored" $P/directory.go 's/return d\.appendReported\(now, prompt, servers\)/return servers/' $P TestPromptsStayWhenAll
mutant "router: a server that was down keeps its cache locations" $P/directory.go 's/^\tdelete\(d\.reports, server\)/\t_ = server/' $P TestCacheReports
mutant "router: cold servers get more requests than the limit" $P/bucket.go 's/limit\/float64\(senders\)-1\)/limit)/' $P TestColdServers
mutant "router: the retry budget isn't divided among the routers" $P/bucket.go 's/slack\*budgetUse\/float64\(max\(1, routers\)\)/slack*budgetUse+0*float64(routers)/' $P TestRetryBudget
mutant "router: hot prompts don't overflow to other servers" $P/affinity.go 's/return locations > 0 \&\& burst > floodThreshold.*/return false/' $P TestLoadBoundUnder
mutant "router: time to read an uncached prompt counts as slowness" $P/outcome.go 's/if c\.Warm \{/if c.Warm || true {/' $P TestFetched
mutant "router: every prompt counts as hot" $P/bound.go 's/if burst > floodThreshold \{/if burst >= 0 {/' $P TestPromptsStayUp
mutant "router: engines are loaded above the bound of the deployment" $P/admission.go 's/if a\.engine \&\& !a\.spread/if false \&\& !a.spread/' $P TestEnginesAboveTheHardBound
mutant "router: a request whose response was lost counts as not run" $V/client.go 's/if written == 0 \{/if written >= 0 {/' $V 'Test'
mutant "router: responses to other requests are passed on" $V/client.go 's/switch match\(response\.Header\) \{/switch MatchOwn {/' $V 'TestLateResponse|TestResponseThatNames'
mutant "router: a truncated stream counts as complete" $C/servercall.go 's/if !c\.isStream\(\) \|\| c\.scanner\.open == 0 .*/if true {/' $C 'TestBrokenStream|TestStream'
mutant "router: an older state replaces a newer one" $O/holder.go 's/newer := next\.Revision > h\.state\.Revision/newer := true/; s/if next\.Revision <= before\.Revision \{/if false {/' $O TestStateNever
mutant "router: the bootstrapping router alone acknowledges writes" $O/group.go 's/if voters < needed \{/if voters < 0 \&\& needed > 0 {/' $O TestFounderAlone
mutant "router: reads aren't confirmed by a quorum" $R/readindex.go 's/c\.quorumAck\(now\) > startedAt$/c.quorumAck(now) > 0*startedAt/' $R TestSeededReads
mutant "router: prompt parts aren't suspects" $C/handler.go 's/range e\.request\.SharedParts\(\) \{/range e.request.SharedParts()[:0] {/' $C TestRequestsWithCrashing
mutant "router: a crash is found by the next request only" $C/servercall.go 's/if !known \&\& !c\.cfg\.Client\.IsRefused\(c\.ctx, c\.choice\.Addr\) \{/if !known {/' $C TestCrashIsFound
mutant "router: servers that fail together count one by one" $P/suspects.go 's/if !e\.sentAt\.Before\(last\) \{/if !e.sentAt.Before(last) || true {/' $P TestServersThatFailTogether
mutant "router: answers don't clear a suspect" $P/suspects.go 's/\{ return s\.allAnswers\(\) >= s\.crashes\(\) \}/{ return false }/' $P 'TestAnswersEnd|TestDeadlyPart'
mutant "router: companions of a suspect are ignored" $P/quarantine.go 's/closest = max\(closest, known\.companionOf\(exposures\)\)/_ = known/' $P 'TestSoundCompanion|TestRareBystander'
mutant "router: all routers try a suspect after its quarantine" $P/quarantine.go 's/if t\.isChosenRouter\(uint64\(q\.Suspect\), 1\) \&\& /if /' $P TestOneRouterTries
mutant "router: response headers aren't bounded" $V/limit.go 's/r\.remaining = maxHeadBytes/r.remaining = unlimited/' $V TestResponseWithoutEnd
mutant "router: events aren't bounded" $C/servercall.go 's/case c\.scanner\.open > maxEventBytes:/case false:/' $C TestEventWithoutEnd
mutant "router: streams go on after events without an ID" $C/stream.go 's/c\.unnumbered = endsUnnumbered\(events, c\.unnumbered\)/_ = endsUnnumbered/' $C TestStreamDoesNotGoOnAfter
mutant "router: single bytes count as progress" $C/servercall.go 's/if complete := c\.scanner\.scan\(data\); complete > 0 \{/if complete := c.scanner.scan(data); true {/' $C TestStalledStream
mutant "router: an unframed response of a crashed server counts as complete" $C/servercall.go 's/ \&\& !response\.Framed \{/ \&\& false {/' $C 'TestUnframedResponse|TestCutOffResponse'
mutant "router: any answer at the address vouches for an unframed response" $C/unframed.go 's/do = witness\.Do/_ = witness/' $C TestCutOffResponse
mutant "router: no witness is opened" $V/client.go 's/witness = c\.openWitness\(ctx, call\.Addr\)/witness = nil/' $V TestWitness
mutant "router: start times of processes are not compared" $C/unframed.go 's/return status\.Born == c\.choice\.Born/return true/' $C TestCutOffResponse
mutant "router: limits that servers state are ignored" $P/ratelimit.go 's/if !r\.limit\.Limited \{/if true {/' $P TestServerLimitHolds
mutant "router: all routers send to a server with a low limit" $P/ratelimit.go 's/if !t\.isChosenRouter\(xxhash\.Sum64String\(r\.ID\), senders\) \{/if !t.isChosenRouter(xxhash.Sum64String(r.ID), senders) \&\& false {/' $P TestServerLimitHolds
mutant "router: limits aren't told to peers" $P/ratelimit.go 's/if r\.limit\.own \&\& \(/if false \&\& (/' $P 'TestServerLimitReaches|TestLateResponse'
mutant "router: a late response ends a limit" $P/ratelimit.go 's/ \&\& c\.SentAt\.Before\(r\.limit\.statedAt\)/ \&\& false/' $P TestLateResponse
mutant "router: engines with a limit lower the load bound" $P/server.go 's/return !r\.limit\.Limited \&\& /return /' $P 'TestEngineTakesOver|TestPromptStays'
mutant "router: a router that has just started counts those it knows" $P/table.go 's/max\(count, len\(names\)\)/len(names)/' $P TestRouterThatJust
mutant "router: a stream goes on at any version" $P/pick.go 's/if q\.Version != 0 \&\& r\.VersionKey\(\) != q\.Version \{/if false {/' $C 'TestBrokenStreamGoes|TestCallerResumes'
mutant "router: servers of unknown versions are of one version" $P/version.go 's/if s\.Version == "" \{/if false {/' $P TestUnknownVersions
mutant "router: a version is gone by an old list" $P/version.go 's/return others \&\& now\.Sub\(t\.listAt\) < maxListAge/return others || true/' $P TestVersionIsNotGone
mutant "router: an unknown stream goes on beside another version" $C/version.go 's/ \|\| e\.cfg\.Servers\.HasMixedVersions\(e\.start, e\.service\.Name\) \{/ {/' $C TestResumedStream
mutant "router: an unknown stream goes on without a history" $C/version.go 's/if version, found := e\.findSoleVersion\(\); found \{/if version, _ := e.findSoleVersion(); true {/' $C 'TestUnknownStreamIsRefused|TestResumedStream'
mutant "router: an unknown stream goes on at any version" $C/version.go 's/e\.version = version$/_ = version/' $C TestUnknownStreamGoesOn
mutant "router: an unknown stream goes on by the versions in the list" $O/versions.go 's/if found \|\| version\.Version == "" \{/if false {/' $O 'TestStreamIsNotResumedAtAnotherVersionAfterAllRoutersWereKilled/just_gone'
mutant "router: versions aren't noted before streams begin" $C/exchange.go 's/OnlyNoted: .*/OnlyNoted: false,/' $C TestOnlyNewResumable
mutant "router: unnoted versions are used" $P/pick.go 's/ \|\| q\.OnlyNoted \&\& !r\.isNoted\(now\) \{/ {/' $P TestResumableStreamsBegin
mutant "router: versions are forgotten at once" $O/versions.go 's/versionRetention = time\.Minute/versionRetention = 0/' $O 'TestVersionsExpire'
mutant "router: a version that is noted again is forgotten" $S/versions.go 's/if m\.versions\[f\.Version\] == f\.Noted \{/if true {/' $S TestNotedVersions
mutant "router: snapshots lack the noted versions" $S/machine.go 's/m\.versions = restored\.versions/_ = restored.versions/' $S TestNotedVersions
mutant "router: records of streams aren't sent to peers" $O/streams.go 's/s\.router\.gossip\.SendStream\(.*/_ = record/' $O TestStreamIsResumed
mutant "router: a stream that can't move is given up for a pause" $C/takeover.go 's/^\te\.startStandby\(ctx\)$/\te.current.cancel()\n&/' $C TestPausedStream
mutant "router: a silent server is given up before another has taken over" $C/takeover.go 's/^\te\.standbys = append\(e\.standbys, standby\)$/&\n\te.current.cancel()/' $C TestPauseOfASound
mutant "router: a standby takes over with its header" $C/takeover.go 's/case standby\.whole \|\| standby\.progressed:/case p.response != nil:/' $C TestPauseOfASound
mutant "router: the silent server is kept after the takeover" $C/takeover.go 's/^\te\.current\.giveUp\(a\)$/\t_ = e.current/' $C TestStreamTakenOver
mutant "router: a server that was left isn't counted as a run" $C/takeover.go 's/if c\.response == nil \&\& !c\.received \{/if false {/' $C 'TestStreamTakenOver|TestLeftServer'
mutant "router: a standby is sent without a retry budget" $C/takeover.go 's/ \|\| !e\.cfg\.Servers\.SpendRetry\(e\.service\.Name\) \{/ {/' $C TestSilentServerIsKept
mutant "router: an error of the second server stands in the stream" $C/servercall.go 's/if c\.headWritten \&\& !c\.continuesStream/if false \&\& !c.continuesStream/' $C TestErrorOfTheSecond
mutant "a stream is resumed at another engine process" $A/engine/runner.go 's/load\.Generation == generation/(load.Generation == generation || true)/' $A/engine TestStreamIsNotResumed
mutant "stated: pauses are ignored" $P/backoff.go 's/\{ return now\.Before\(b\.until\) \}/{ return false }/' $P TestPausesOfServersAreKept
mutant "stated: all requests go out right after a pause" $P/backoff.go 's/if !b\.until\.IsZero\(\) \{/if false {/' $P TestOneRequestAfter
mutant "stated: a shorter pause ends an earlier one" $P/backoff.go 's/latest\(b\.until, (now\.Add\(min\(pause, httpheader\.MaxRetryAfter\)\))\)/\1/' $P TestPausesAreExtended
mutant "stated: a late response ends a pause" $P/backoff.go 's/case !c\.SentAt\.Before\(b\.until\):/default:/' $P TestPausesAreExtended
mutant "stated: a request that was picked goes out in a pause" $P/leaving.go 's/case r\.backoff\.isActive\(now\):/case false:/' $P TestPausesAreExtended
mutant "stated: a request that was picked goes to a leaving server" $P/leaving.go 's/case !r\.acceptsRequests\(\) \&\& .*/case false:/' $P TestServerThatStates
mutant "stated: a withheld call is sent" $V/client.go 's/if err := call\.MaySend\(\); err != nil \{/if err := call.MaySend(); err != nil \&\& false {/' $V TestWithheld
mutant "stated: a withheld request marks its server as down" $C/servercall.go 's/case isServerError \&\& callErr\.Withheld:/case false:/' $C TestWithheld
mutant "stated: a refusal with a pause counts as a failure" $C/statements.go 's/^\tif info\.Backoff > 0 \{/\tif false {/' $C TestRefusalWithAPause
mutant "stated: Server-Leaving is ignored" $C/statements.go 's/if info\.Leaving \&\& /if false \&\& /' $C TestServerThatStates
mutant "stated: a leaving server keeps its requests" $P/leaving.go 's/const leavingGrace = time\.Second/const leavingGrace = 1000 * time.Hour/' $P 'TestStreamDoesNotGoOn'
mutant "stated: a leaving server gets nothing" $P/pick.go 's/candidates = leaving$/_ = leaving/' $P TestLeavingServerStill
mutant "stated: a statement applies to the next process too" $P/server.go 's/return s\.ID == other\.ID \&\& .*/return s.ID == other.ID/' $P 'TestPauseDoesNotApply|TestOtherServersAt'
mutant "stated: a gap in the list ends what a server stated" $P/table.go 's/unlistedMemory = 2 \* time\.Second/unlistedMemory = 0 * time.Second/' $P TestGapInTheList
mutant "stated: pauses of peers are ignored" $P/backoff.go 's/if !now\.Before\(r\.avoidUntil\) \{/if true {/' $P 'TestRoutersAvoid|TestPausesOfPeers'
mutant "stated: a single peer's pause counts" $P/table.go 's/r\.avoidUntil = pauses\[r\.key\]\.second/r.avoidUntil = pauses[r.key].first/' $P TestPausesOfPeers
mutant "stated: engines in a pause lower the load bound" $P/server.go 's/ \&\& !r\.backoff\.isActive\(now\) \&\& / \&\& /' $P TestLoadBoundLeavesOut
mutant "stated: the query for cached prompts ignores pauses" $P/report.go 's/ \&\& r\.backoff\.wait\(now\) <= 0 \{/ {/' $P TestEnginesInAPause
mutant "stated: a silent request moves to a server in a pause" $P/pick.go 's/if !q\.matches\(r\) \|\| r\.backoff\.wait\(now\) > 0 /if !q.matches(r) /' $P TestSilentRequest
mutant "stated: agents ignore pauses" $A/engine/client.go 's/; wait > 0 \{/; wait > 0 \&\& false {/' $A/engine TestEngineGetsNothing
mutant "stated: agents ignore the pauses of services" $A/service/client.go 's/; wait > 0 \{/; wait > 0 \&\& false {/' $A/service TestServiceGetsNo
mutant "stated: agents ignore engines that leave" $A/admission/gate.go 's/g\.draining \|\| g\.leaving \|\| v\.Leaving/g.draining || v.Leaving/' $A/admission TestAdmit

mutant "unframed: agents take a closed connection for the end of a response" $A/engine/runner.go 's/case !httpheader\.IsFramed\(response\) \&\& /case false \&\& !httpheader.IsFramed(response) \&\& /' $A/engine TestUnframedResponse
mutant "unframed: engines without a generation count as the same process" $A/engine/runner.go 's/generation == ""/false/' $A/engine TestEngineWithoutGeneration
mutant "unframed: agents hand over a cut-off cache" $A/engine/client.go 's/if !httpheader\.IsFramed\(response\) \{/if false {/' $A/engine TestUnframedCache
mutant "unframed: agents take a cut-off reply of a service" $A/service/client.go 's/if !httpheader\.IsFramed\(response\) \{/if false {/' $A/service TestUnframedReply

mutant "kept: agents drop what an entry hasn't read" $A/entry/response.go 's/> windowBytes \{/> 1<<40 {/; s/cut := r\.readOffset - windowBytes - r\.start/cut := int64(len(r.window)+len(part)-2*windowBytes)/' $A/entry TestLargeResponse
mutant "kept: entries take slow callers for silent agents" $E/client.go 's/^\t\tsilence\.Stop\(\)$//' $E TestSlowCaller
mutant "kept: entries give up with four attaches" $E/client.go 's/ \|\| now\.Sub\(l\.since\) < exchange\.AttachTimeout//' $E TestUnreachableHostThatComesBack
mutant "kept: agents copy what isn't the rest of a stream" $A/engine/runner.go 's/ \|\| !hasEvents\(response\) \|\| checkRequestID\(response, id\) != nil//' $A/engine TestResponseThatIsNoRest
mutant "kept: agents cut off calls under a key" $A/service/runner.go 's/Client\.Do\(agentCtx, o\)/Client.Do(ctx, o)/' $A/service TestCallUnderAKey
mutant "kept: agents give up replies without a quorum" $A/service/runner.go 's/ \&\& ctx\.Err\(\) == nil \{/ \&\& false {/' $A/service TestReplyIsNotGivenUp
mutant "kept: responses to trials wait for control" $A/entry/server.go 's/if trial \&\& err != nil/if trial/' $A/entry TestResponseToATrial

mutant "late: orders are accepted on any revision" $O/zoneorders.go 's/base != current \{/base != current \&\& false {/' $O 'TestZoneOrders|TestLateOrder'
mutant "late: accepted orders aren't counted" $O/zoneorders.go 's/^\t\*accepted\+\+$//' $O 'TestZoneOrders|TestLateOrder'
mutant "late: revisions outlive the leader" $O/zoneorders.go 's/Term: term, Accepted: \*accepted/Term: base.Term, Accepted: *accepted/' $O TestZoneOrders
mutant "crowds: a claim gives up at a client that doesn't yield" internal/wire/memory/transfer.go 's/c\.declined = append\(c\.declined, oldest\)/return pending > 0/' internal/wire/memory TestClientThatDoesNotYield
mutant "crowds: claims wait for a client that doesn't yield" internal/wire/memory/transfer.go 's/^\tt\.budget\.notify\(\)$//' internal/wire/memory TestWaitEnds
mutant "crowds: whole heads yield" internal/wire/httpport/conn.go 's/c\.headEnd\.find\(data\)/c.headEnd.find(nil)/' internal/wire/httpport TestWholeHead
mutant "crowds: refused requests yield late" internal/wire/httpport/limit.go 's/isLast := phase == memory\.PhaseDiscarding \|\| /isLast := /' internal/wire/httpport TestRefusedRequestsYieldFirst
mutant "crowds: requests without a handler may take any time" internal/wire/httpport/conn.go 's/if c\.unhandled\.Load\(\) \{/if false {/' internal/wire/httpport TestUnhandledRequestsEnd
mutant "crowds: the limit of a request without a handler stays" internal/wire/httpport/conn.go 's/^\tc\.unhandled\.Store\(false\)$//' internal/wire/httpport 'TestLimitOfUnhandled|TestSlowBody'
mutant "crowds: responses are cut off at once" internal/wire/httpport/limit.go 's/phase == memory\.PhaseSending \&\& age < sendingGrace:/phase == memory.PhaseSending \&\& age < 0:/' internal/wire/httpport TestResponsesAreNotCutOff
mutant "crowds: windows take any memory" internal/agent/entry/response.go 's/capacity > minWindowBytes \&\& !r/capacity < 0 \&\& !r/' internal/agent/entry TestWindowsFit
mutant "crowds: sockets hold any bytes" internal/wire/tcp/buffer.go 's/receiveBytes = 32 << 10/receiveBytes = 4 << 20/' internal/wire/tcp TestUnreadBytes
mutant "crowds: segments wait for room in a socket" internal/wire/tcp/buffer.go 's/sendBytes = 64 << 10/sendBytes = 16 << 10/' internal/wire/tcp TestLimitedBuffers
mutant "crowds: each role takes all connections" internal/run/limits/limits.go 's/return max\(1, ports\)/return max(1, min(1, ports))/' internal/run/limits TestRolesOfOneProcess
mutant "crowds: a stop waits for the log" internal/operator/journal/sink.go 's/After\(flushTimeout\)/After(time.Hour)/' internal/operator/journal TestRunEndsAlthough
mutant "late: a proposal is appended in another term" $R/proposal.go 's/if p\.term != 0 \&\& p\.term != n\.core\.Term\(\) \{/if false {/' $R TestCommandIsNotAppendedInLaterTerm
mutant "late: overtaken tickets are applied" $H/ticketorder.go 's/overtaken != "" \{/false {/' $H TestLateTicket
mutant "late: tickets don't wait for pending ones" $H/ticketorder.go 's/if s\.tickets\.settledTerm == term \{/if true {/' $H TestLateTicketDoesNotFollow
mutant "late: a process is registered twice" $H/registration.go 's/case known\.process == process:/case false:/' $H TestLateRegistration
mutant "late: calls to servers are delivered after they are given up" $V/conn.go 's/return tcp\.Reset\(c\.Conn\)/_ = tcp.Reset\n\treturn c.Close()/' $V TestCallThatIsGivenUp
mutant "late: calls to routers are delivered after they time out" internal/wire/netrpc/client.go 's/_ = tcp\.Reset\(conn\.transport\)/_ = tcp.Reset\n\t_ = conn.transport.Close()/' internal/wire/netrpc TestCallThatTimedOut
mutant "late: requests go by the zones of their arrival" $C/exchange.go 's/return e\.cfg\.Routes\(\)\.IsZoneOut\(zone\)/return e.table.IsZoneOut(zone)/' $C 'TestRequestIsNot'
mutant "late: zones aren't checked after the dial" $C/call.go 's/if c\.isZoneOut\(c\.choice\.Zone\) \{/if false {/' $C TestRequestIsNotSent
mutant "foreign: a response without an ID is believed" $C/call.go 's/return server\.MatchNone/return server.MatchOwn/' $C 'TestRefusal|TestResponseWithoutID'
mutant "foreign: the connection of a refusal is kept" $C/servercall.go 's/^\t\treturn c\.refusedAttempt\(info\), true/\t\tc.received = true\n\t\t_, _ = io.ReadAll(response.Body)\n&/' $C TestRepeatedRefusal
mutant "foreign: an entry is decoded with its list" platform/list.go 's/list, err := jsonlist\.Split\(data, "instances"\)/if !json.Valid(data) {\n\t\treturn page{}, errors.New("invalid")\n\t}\n\t&/' platform TestOddEntries
mutant "foreign: a damaged entry ends the list" internal/wire/jsonlist/split.go 's/if err := s\.skipDamaged\(end\); err != nil/if err := errNoEnd; err != nil/' internal/wire/jsonlist TestSplit
mutant "foreign: impossible numbers are believed" platform/list.go 's/ \|\| !in\.isWithinLimits\(\)//' platform TestOddEntries
mutant "foreign: an odd instance hides the others" internal/platform/list/list.go 's/if !utf8\.Valid\(entry\) \|\| json/if !utf8.Valid(nil) || json/' internal/platform/list TestOddEntries

mutant "load: a new server is cold from its first response on" $P/table.go 's/confirmedUp: true, listedSince/confirmedUp: s.Cold == 0, listedSince/' $P TestNewServerWithout
mutant "load: a listed cold start begins anew at the first response" $P/outcome.go 's/if !r\.isColdStartListed\(coldStart\) \{/if true {/' $P TestColdStartEnds
mutant "load: all routers send to the least loaded engine near the bound" $P/pick.go 's/if admission\.spread\.pressure >= .* \{/if false {/' $P TestLeastLoaded
mutant "load: a retry is compared with all requests" $P/spread.go 's/if q\.isRestricted\(\) \{/if false {/' $P TestRetryIsNotRefused
mutant "load: requests to an earlier process count for the new one" $P/outcome.go 's/\(c\.record == nil \|\| c\.record == r\)/true/' $P TestRequestsToAnEarlier
mutant "load: servers that are gone count in the mean" $P/bound.go 's/ \&\& r\.unlistedAt\.IsZero\(\) \&\& / \&\& /' $P TestUnlistedServers
mutant "disk: a replica refuses votes after each start" $R/core.go 's/if !cfg\.LastContact\.IsZero\(\) \{/if false {/' $R TestReplicaVotesOnce
mutant "disk: unfinished snapshots stay" $R/store.go 's/err = s\.removeUnused\(saved\)/_ = saved/' $R TestUnfinishedSnapshots
mutant "disk: any number of bytes waits for a quorum" $R/core.go 's/> maxUncommittedBytes \{/> 1000*maxUncommittedBytes {/' $R TestLeaderBoundsTheBytes
mutant "stale: refusals rest on any state" $O/confirm.go 's/^\treturn !c\.at\.IsZero\(\).*/\treturn true/' $O TestRefusalsRest
mutant "stale: callers are refused by any state" $C/handler.go 's/^\t\treturn bronzerill\.KindUnconfirmed$/\t\t_ = confirmed/' $C TestRefusalsNeed
mutant "stale: a state of the log is in force at once" $O/holder.go 's/^\tif !h\.admitted \{/\tif false {/' $O TestStateFromTheLog
mutant "stale: a paused router asks nobody" $O/confirm.go 's/^\treturn !c\.pausedAt\.IsZero.*/\treturn false/' $O TestPausedRouter
mutant "stale: one silent peer keeps a router from the newer state" $O/fetch.go 's/^\tfetchHedge = .*/\tfetchHedge = fetchTimeout/' $O TestSilentPeers
mutant "stale: a log of an earlier term counts as committed" $R/recovery.go 's/ \|\| own\.LogTerm != own\.Term//' $R TestDisksThatDiffer
mutant "stale: one disk shows what was committed" $R/recovery.go 's/tails\[name\] == own/true/' $R TestDisksOf
mutant "stale: the write of a call has no limit" internal/wire/netrpc/client.go 's/^\tstarted := c\.start\(func\(\) \{ (.*) \}\)$/\t\1\n\tstarted := true/' internal/wire/netrpc TestCallsEndInTime
mutant "lost disk: it changes no quorum" $R/quorum.go 's/lost > 0 \&\& committed/false \&\& lost > 0 \&\& committed/' $R TestDiskLostAsOne
mutant "lost disk: quorums of two lists needn't overlap" $R/quorum.go 's/^\tif c\.needsListBefore\(\) \{/\tif false {/' $R TestQuorumsOverlap
mutant "lost disk: a list not known to be committed has no smaller quorums" $R/quorum.go 's/^\treturn max\(reached, both\)/\treturn reached/' $R TestDiskLostAsTheNewest
mutant "lost disk: smaller quorums of a list not known to be committed stand alone" $R/quorum.go 's/^\tboth := min\((.*), agreedBy\(c, c\.before, true, value\)\)/\tboth := \1/' $R TestQuorumsOverlap
mutant "lost disk: entries may be on one disk" $R/quorum.go 's/, c\.losses\+1\)\)/, 1))/' $R TestQuorumAfterALoss

if [ "$survived" -gt 0 ]; then
	echo "$survived mutants were not caught"
	exit 1
fi
echo "every mutant was caught"
