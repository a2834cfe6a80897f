/**
 * Mechanisms that are broken on purpose, one at a time, to show that tests notice.
 *
 * @module
 */

/** One change of one place, and the test files of which at least one must fail then. */
export interface Mutation {
    /** What is taken out: `MIXED: a part of an event is passed on`. */
    readonly name: string;
    readonly file: string;
    /** Text that stands in the file once. */
    readonly original: string;
    readonly replacement: string;
    readonly tests: readonly string[];
}

const FORWARDING = "src/forwarding";
const REPEAT_TESTS = [`${FORWARDING}/repeatDecision.test.ts`];
const HEAD = "src/entry/_answerHead.ts";
const HEAD_TESTS = ["src/entry/_answerHead.test.ts"];
const ANSWERS = "src/transport/answers";
const ANSWER_TESTS = ["tests/unframedAnswers.test.ts", "tests/brokenHeads.test.ts"];
const VIEW = "src/fleet/upstreamView.ts";
const VIEW_TESTS = ["src/fleet/upstreamView.test.ts", "src/fleet/leavingIncarnations.test.ts"];
const DUTIES = "src/duties/engineDuties.ts";
const DUTY_TESTS = ["src/duties/engineDuties.test.ts", "src/duties/restores.test.ts"];
const MEMORY = "src/memory/memoryBudget.ts";
const MEMORY_TESTS = ["src/memory/memoryBudget.test.ts"];
const QUOTA_TESTS = ["src/quotas/accountQuotas.test.ts"];
const ORDER = "src/entry/connections/requestOrder.ts";
const ORDER_TESTS = ["src/entry/connections/requestOrder.test.ts"];
const JUDGEMENT = "src/crashes/_judgement.ts";
const CRASH_TESTS = ["src/crashes/_judgement.test.ts", "src/crashes/crashAttribution.test.ts"];

/** All mutations, by the rule that the mechanism keeps. */
export const MUTATIONS: readonly Mutation[] = [
    {
        name: "MIXED: a part of an event is passed on",
        file: `${FORWARDING}/eventSplitter.ts`,
        original: "const whole = this.#takeWhole(piece.subarray(0, end));",
        replacement: "const whole = this.#takeWhole(piece);",
        tests: [`${FORWARDING}/eventSplitter.test.ts`],
    },
    {
        name: "MIXED: an answer need not name its request",
        file: HEAD,
        original: "if (head.headers[names.requestId] !== expectation.requestId) {",
        replacement: "if (head.headers[names.requestId] === undefined) {",
        tests: HEAD_TESTS,
    },
    {
        name: "MIXED: the end of a connection that was reset completes an answer",
        file: `${ANSWERS}/receiveAnswer.ts`,
        original: "if (framingOf(head, request.method) === \"connection-end\") {",
        replacement: "if (framingOf(head, request.method) === \"no-body\") {",
        tests: ["tests/unframedUploads.test.ts"],
    },
    {
        name: "MIXED: an answer's framing is not looked at",
        file: `${ANSWERS}/answerFraming.ts`,
        original: "return codings.at(-1) === CHUNKED ? \"chunks\" : \"connection-end\";",
        replacement: "return \"chunks\";",
        tests: ANSWER_TESTS,
    },
    {
        name: "MIXED: statuses of no final answer are taken",
        file: `${ANSWERS}/findHeadFault.ts`,
        original: "head.status <= LAST_FINAL_STATUS",
        replacement: "head.status <= Number.POSITIVE_INFINITY",
        tests: ANSWER_TESTS,
    },
    {
        name: "MIXED: names of fields are not checked",
        file: `${ANSWERS}/findHeadFault.ts`,
        original: "(index % 2 === 0 ? FIELD_NAME : FIELD_VALUE)",
        replacement: "FIELD_VALUE",
        tests: ANSWER_TESTS,
    },
    {
        name: "REFUSED: an upstream's promise that a request has not run is passed on",
        file: HEAD,
        original: "if (PROMISES_NOT_RUN.has(head.status) || (expectation.answerBegun",
        replacement: "if ((expectation.answerBegun",
        tests: HEAD_TESTS,
    },
    {
        name: "REFUSED: a request that may have run is refused as not run",
        file: `${FORWARDING}/repeatDecision.ts`,
        original: "failedAttempt.attemptsThatMayHaveRun === 0 ? \"refuse\" : \"fail\"",
        replacement: "failedAttempt.attemptsThatMayHaveRun >= 0 ? \"refuse\" : \"fail\"",
        tests: REPEAT_TESTS,
    },
    {
        name: "TWICE: a non-idempotent request may run again",
        file: `${FORWARDING}/repeatDecision.ts`,
        original: "return kind === \"idempotent\" ||",
        replacement: "return kind !== \"event-stream\" ||",
        tests: REPEAT_TESTS,
    },
    {
        name: "BUDGET: no limit of attempts",
        file: `${FORWARDING}/repeatDecision.ts`,
        original: "failedAttempt.attemptsThatMayHaveRun >= failedAttempt.maximumAttempts ||",
        replacement: "",
        tests: REPEAT_TESTS,
    },
    {
        name: "BUDGET: each host takes the whole extra of the retry budget",
        file: `${FORWARDING}/sharedRetryBudget.ts`,
        original: "extra / this.#maximumHosts",
        replacement: "extra",
        tests: [`${FORWARDING}/sharedRetryBudget.test.ts`],
    },
    {
        name: "BUDGET: a shorter pause ends a longer one",
        file: `${FORWARDING}/upstreamPauses.ts`,
        original: "Math.max(pausedUntil, this.#pausedUntil.get(upstream) ?? pausedUntil)",
        replacement: "pausedUntil",
        tests: [`${FORWARDING}/upstreamPauses.test.ts`],
    },
    {
        name: "BUDGET: an answer does not clear an attribute of a crash",
        file: JUDGEMENT,
        original: "!proofs.excuses(attribute, run.atMilliseconds) && ",
        replacement: "",
        tests: CRASH_TESTS,
    },
    {
        name: "BUDGET: crashes at one time count as separate",
        file: JUDGEMENT,
        original: ">= SEPARATION_MILLISECONDS) {",
        replacement: ">= 0) {",
        tests: CRASH_TESTS,
    },
    {
        name: "DRAIN: an announcement revokes an upstream's own word that it leaves",
        file: VIEW,
        original: "!announcement.leaving && !this.hasReportedLeaving(announcement)",
        replacement: "!announcement.leaving",
        tests: VIEW_TESTS,
    },
    {
        name: "DRAIN: an announcement that an upstream leaves has no effect",
        file: VIEW,
        original: "!announcement.leaving && !this.hasReportedLeaving(announcement)",
        replacement: "!this.hasReportedLeaving(announcement)",
        tests: VIEW_TESTS,
    },
    {
        name: "DRAIN: an earlier incarnation may be sent a request",
        file: VIEW,
        original: "return known?.usable === true && isSameIncarnation(known.announcement, incarnation);",
        replacement: "return known?.usable === true;",
        tests: VIEW_TESTS,
    },
    {
        name: "DRAIN: a host whose watchers lack changes goes on without a watch of its own",
        file: "src/entry/store/storeWatchPolicy.ts",
        original: "watchers.length === 0 || isMissingTooLong",
        replacement: "watchers.length === 0",
        tests: ["src/entry/store/storeWatchPolicy.test.ts"],
    },
    {
        name: "ROUTE: an upstream keeps an address that another one announces",
        file: VIEW,
        original: "const replaced = this.#replaceOthersAtAddress(announcement);",
        replacement: "const replaced: readonly UpstreamChange[] = [];",
        tests: VIEW_TESTS,
    },
    {
        name: "CONFIG: an older version is taken",
        file: "src/entry/store/configurationInForce.ts",
        original: "if (decoded.value.version <= (this.#table?.version ?? -1)) {",
        replacement: "if (decoded.value.version === this.#table?.version) {",
        tests: ["src/entry/store/configurationInForce.test.ts"],
    },
    {
        name: "ONE: a host that knows a later holder consents",
        file: "src/duties/outageConsent.ts",
        original: "return isSuperseded ? undefined : ",
        replacement: "return ",
        tests: ["src/duties/outageConsent.test.ts"],
    },
    {
        name: "ONE: a host that the store answers consents",
        file: "src/duties/outageConsent.ts",
        original: "statement === undefined || statement.serviceAnswers || ",
        replacement: "statement === undefined || ",
        tests: ["src/duties/outageConsent.test.ts"],
    },
    {
        name: "ONE: a suspended host counts as confirmed",
        file: "src/duties/_ownSession.ts",
        original: "\n            && Math.abs(timeOfDayElapsed - steadyElapsed) <= CLOCK_TOLERANCE_MILLISECONDS;",
        replacement: ";",
        tests: DUTY_TESTS,
    },
    {
        name: "ONE: a new holder does not wait for the one before",
        file: DUTIES,
        original: "return nowMilliseconds + stopsWithin + handoverMilliseconds;",
        replacement: "return nowMilliseconds;",
        tests: DUTY_TESTS,
    },
    {
        name: "ONE: a new holder does not wait for holders whose records a restore lost",
        file: DUTIES,
        original: "return Math.max(this.#waitsForLostHoldersUntil, this.#waitEndAfterKnown(",
        replacement: "return (this.#waitEndAfterKnown(",
        tests: DUTY_TESTS,
    },
    {
        name: "CEILING: each engine may load as often as all together",
        file: "src/placement/storeLoadShare.ts",
        original: " / Math.max(1, engineCount)));",
        replacement: "));",
        tests: ["src/placement/placementPlan.test.ts", "src/placement/managedEngine.test.ts"],
    },
    {
        name: "LOST: a request begins before the one in front of it has ended",
        file: ORDER,
        original: "if (first?.request === undefined || first.hasBegun) {",
        replacement: "if (first?.request === undefined) {",
        tests: ORDER_TESTS,
    },
    {
        name: "FAULT: requests fill the memory of answers under way",
        file: MEMORY,
        original: "bytes <= this.shareBytes(use)",
        replacement: "bytes <= this.#budgetBytes",
        tests: MEMORY_TESTS,
    },
    {
        name: "FAULT: a part that is released twice frees memory of others",
        file: MEMORY,
        original: "Math.min(bytes, heldBytes)",
        replacement: "bytes",
        tests: MEMORY_TESTS,
    },
    {
        name: "FAULT: compiled code is run without a check of its content",
        file: "platform/_compiledCode.ts",
        original: "if (header[\"code\"] !== digestOf(code)) {",
        replacement: "if (header[\"code\"] === undefined) {",
        tests: ["tests/launch.test.ts"],
    },
    {
        name: "GONE: a request is sent although its caller has left",
        file: "src/entry/exchange/sendObstacle.ts",
        original: "if (hasCallerLeft(parts.request)) {",
        replacement: "if (parts.request.response.destroyed) {",
        tests: ["src/entry/exchange/sendObstacle.test.ts"],
    },
    {
        name: "GONE, DRAIN: acts run before what has arrived was read",
        file: "src/entry/actQueue.ts",
        original: "if (this.#confirmations.state === \"current\" && !reads.isBehind(readClock())) {",
        replacement: "if (this.#confirmations.state === \"current\") {",
        tests: ["src/entry/actQueue.test.ts", "src/entry/actQueueGaps.test.ts"],
    },
    {
        name: "QUOTA: tokens that others report count only over time",
        file: "src/quotas/bucketReplica.ts",
        original: "this.#levelTokens -= counted * ADMITTED_TIME_CONSTANT_SECONDS;",
        replacement: "this.#levelTokens -= counted * 0;",
        tests: QUOTA_TESTS,
    },
    {
        name: "QUOTA: nothing is reserved for silent hosts",
        file: "src/quotas/accountQuotas.ts",
        original: "(part >= MOST_HOSTS_PART ? 1 : part)",
        replacement: "(part >= MOST_HOSTS_PART ? 1 : 1)",
        tests: QUOTA_TESTS,
    },
    {
        name: "QUOTA: hosts do not know what is offered to others",
        file: "src/quotas/_accountState.ts",
        original: "this.ownOffered(nowMilliseconds) + this.othersOffered",
        replacement: "this.ownOffered(nowMilliseconds)",
        tests: ["src/quotas/quotaFleet.test.ts"],
    },
    {
        name: "QUOTA: what hosts admit before they notice a partition is not repaid",
        file: "src/quotas/_accountState.ts",
        original: "if (areFewer) {",
        replacement: "if (areFewer && heard < 0) {",
        tests: ["src/quotas/quotaFleet.test.ts"],
    },
    {
        name: "LOST: each chunk of an answer is handled by itself",
        file: `${ANSWERS}/chunkJoiner.ts`,
        original: "if (chunk.length >= SMALL_CHUNK_BYTES) {",
        replacement: "if (chunk.length >= 0) {",
        tests: [`${ANSWERS}/chunkJoiner.test.ts`],
    },
    {
        name: "LOST: each small piece of an answer is held apart",
        file: "src/entry/pagePool.ts",
        original: "last.bytes.length + received.length < MINIMUM_COPIED_BYTES",
        replacement: "last.bytes.length + received.length < 0",
        tests: ["src/entry/pagePool.test.ts"],
    },
    {
        name: "MEMORY: header fields without their end are parsed as they come",
        file: "src/entry/connections/_requestParts.ts",
        original: "return bytes.length < maximumFieldsBytes\n",
        replacement: "return bytes.length < 0\n",
        tests: ["tests/unfinishedFieldCrowds.test.ts"],
    },
    {
        name: "MEMORY: header fields without their end are held beside the budget",
        file: "src/entry/connections/_connectionFeed.ts",
        original: "return this.#beginning.heldBytes + ",
        replacement: "return ",
        tests: ["src/entry/connections/parserFeeds.test.ts"],
    },
    {
        name: "CONFIG: all connections that bring much are read in one turn",
        file: "src/transport/readTurns.ts",
        original: "if (connections === CONNECTIONS_IN_TURN) {",
        replacement: "if (connections < 0) {",
        tests: ["src/transport/readTurns.test.ts"],
    },
    {
        name: "LOST: each fault of a document becomes an issue",
        file: "src/platform/parseDocument.ts",
        original: "= { abortEarly: true };",
        replacement: "= {} as never;",
        tests: ["platform/malformedDocuments.test.ts"],
    },
    {
        name: "LOST: a JSON text may hold any number of values",
        file: "src/platform/parseJson.ts",
        original: "return values > MAXIMUM_VALUES;",
        replacement: "return values > Infinity;",
        tests: ["src/platform/parseJson.test.ts"],
    },
];
