/**
 * Claims of order keys in the key-value service: many keys in one compare-and-swap of a shard's record.
 *
 * @module
 */
import { match } from "ts-pattern";
import { type Decision, hashText, type IdentifierSource } from "../decision/index.js";
import { type ClaimRecord } from "../generated/platform.js";
import { isSameProcess, type ProcessName } from "./orderKey.js";

/** A shard's record as it was read or written. */
export interface ReadClaims {
    /** Revision of the key; 0 where it does not exist. */
    readonly revision: number;
    readonly record: ClaimRecord | undefined;
}

/** What the claim batcher is told; `attempt` repeats that of the effect. */
export type ClaimBatcherMessage =
    | { readonly type: "claim"; readonly key: string; readonly bodyHash: string; }
    | { readonly type: "read-answered"; readonly attempt: number; readonly shard: number; readonly read: ReadClaims; }
    | { readonly type: "read-failed"; readonly attempt: number; readonly shard: number; }
    | { readonly type: "written"; readonly attempt: number; readonly shard: number; readonly revision: number; }
    | { readonly type: "conflict"; readonly attempt: number; readonly shard: number; readonly current: ReadClaims; }
    /** `notSent` only where the write cannot have taken effect. */
    | { readonly type: "write-failed"; readonly attempt: number; readonly shard: number; readonly notSent: boolean; }
    /** A peer was lost or found: the records are read again, so that they prove absence since then. */
    | { readonly type: "peers-changed"; }
    | { readonly type: "tick"; };

/** What the claim batcher asks for; the last two are messages to the orders decision. */
export type ClaimBatcherEffect =
    | { readonly type: "read"; readonly attempt: number; readonly shard: number; readonly storeKey: string; }
    | {
        readonly type: "write";
        readonly attempt: number;
        readonly shard: number;
        readonly storeKey: string;
        readonly expectedRevision: number;
        readonly record: ClaimRecord;
    }
    | {
        readonly type: "claim-answered";
        readonly key: string;
        readonly outcome: "claimed" | "claimed-by-another" | "other-body" | "not-claimed";
        readonly claimedBy?: ProcessName;
        readonly absentSinceMilliseconds?: number;
    }
    | { readonly type: "claim-failed"; readonly key: string; readonly absentSinceMilliseconds?: number; };

/** Options of the claim batcher. */
export interface ClaimBatcherOptions {
    readonly identity: ProcessName;
    /** Makes the identifier of each write. */
    readonly identifiers: IdentifierSource;
    /** Added to the decision's clock, gives Unix time in milliseconds. */
    readonly wallClockOffsetMilliseconds: number;
    /** Records that keys are spread over; equal on every host; by default 32. */
    readonly shards?: number;
    /** How long a claim is kept; by default 25 minutes. */
    readonly claimAgeMilliseconds?: number;
    /** Most claims in one record; by default 3,000. */
    readonly mostClaims?: number;
    /** How long a read or write may take; by default 1,500. */
    readonly storeMilliseconds?: number;
}

type Claim = ClaimRecord["claims"][number];

interface PendingClaim {
    readonly bodyHash: string;
    /** A write that held this claim has no answer yet. */
    mayBeWritten: boolean;
}

interface Attempt {
    readonly number: number;
    readonly beganAtMilliseconds: number;
    /** Missing for a read. */
    readonly write: { readonly keys: readonly string[]; readonly record: ClaimRecord; } | undefined;
}

interface Shard {
    readonly number: number;
    readonly pending: Map<string, PendingClaim>;
    /** The record at its last known revision; missing where it has to be read. */
    known: ReadClaims | undefined;
    /** The newest record seen, also where it may have changed since; complete as of its time. */
    seen: { readonly claims: ClaimRecord["claims"]; readonly atMilliseconds: number; } | undefined;
    attempt: Attempt | undefined;
    readAgainAtMilliseconds: number;
}

const DEFAULT_SHARDS = 32;
const DEFAULT_CLAIM_AGE_MILLISECONDS = 1_500_000;
const DEFAULT_MOST_CLAIMS = 3_000;
const DEFAULT_STORE_MILLISECONDS = 1_500;
/** How long after the start every record is read, so that an outage finds them known. */
const FIRST_READ_MILLISECONDS = 2_500;
const READ_INTERVAL_MILLISECONDS = 300_000;
/** Time between the records' reads after a change of peers. */
const READ_SPREAD_MILLISECONDS = 50;
const READ_RETRY_MILLISECONDS = 5_000;
const RENEWAL_AGE_MILLISECONDS = 60_000;

function storeKeyOf(shard: Shard): string {
    return `claims/${shard.number}`;
}

/**
 * Creates the decision that batches the claims of one process.
 *
 * @param options This process, identifiers of writes, the wall clock's offset, and bounds.
 * @returns The decision; each `claim` is answered by one `claim-answered` or `claim-failed`.
 *
 * @example
 * ```ts
 * const batcher = createClaimBatcher({ identity, identifiers: randomUUID, wallClockOffsetMilliseconds: 0 });
 * const [read] = batcher.handle({ type: "claim", key: "reel-cut-4711", bodyHash }, 0);
 * ```
 */
export function createClaimBatcher(options: ClaimBatcherOptions): Decision<ClaimBatcherMessage, ClaimBatcherEffect> {
    const { identity } = options;
    const shardCount = options.shards ?? DEFAULT_SHARDS;
    const claimAge = options.claimAgeMilliseconds ?? DEFAULT_CLAIM_AGE_MILLISECONDS;
    const mostClaims = options.mostClaims ?? DEFAULT_MOST_CLAIMS;
    const storeMilliseconds = options.storeMilliseconds ?? DEFAULT_STORE_MILLISECONDS;
    const shards = new Map<number, Shard>();
    let attempts = 0;
    let now = 0;
    let startedAt = 0;
    let effects: ClaimBatcherEffect[] = [];

    function shardOf(number: number): Shard {
        const present = shards.get(number);
        if (present !== undefined) {
            return present;
        }
        const shard: Shard = {
            number,
            pending: new Map(),
            known: undefined,
            seen: undefined,
            attempt: undefined,
            readAgainAtMilliseconds: startedAt + FIRST_READ_MILLISECONDS,
        };
        shards.set(number, shard);
        return shard;
    }

    function beginAttempt(shard: Shard, write: Attempt["write"]): number {
        attempts += 1;
        shard.attempt = { number: attempts, beganAtMilliseconds: now, write };
        return attempts;
    }

    function advance(shard: Shard): void {
        if (shard.attempt !== undefined || shard.pending.size === 0) {
            return;
        }
        if (shard.known === undefined) {
            read(shard);
            return;
        }
        answerRecorded(shard, shard.known.record?.claims ?? []);
        if (shard.pending.size > 0) {
            write(shard, shard.known);
        }
    }

    function read(shard: Shard): void {
        const attempt = beginAttempt(shard, undefined);
        effects.push({ type: "read", attempt, shard: shard.number, storeKey: storeKeyOf(shard) });
    }

    /** Answers the pending claims that a record decides. */
    function answerRecorded(shard: Shard, claims: ClaimRecord["claims"]): void {
        for (const claim of claims) {
            const pending = shard.pending.get(claim.key);
            if (pending === undefined || isOld(claim) || isOwnToRenew(claim)) {
                continue;
            }
            const claimedBy = { host: claim.host, incarnation: claim.incarnation };
            const own = isSameProcess(claimedBy, identity);
            const sameBody = claim.bodyHash === pending.bodyHash;
            shard.pending.delete(claim.key);
            const outcome = sameBody ? own ? "claimed" : "claimed-by-another" : "other-body";
            effects.push({ type: "claim-answered", key: claim.key, outcome, claimedBy });
        }
    }

    function ageOf(claim: Claim): number {
        return now + options.wallClockOffsetMilliseconds - claim.claimedAtMilliseconds;
    }

    function isOld(claim: Claim): boolean {
        return ageOf(claim) > claimAge;
    }

    /** A claim of this process that was not used at once is written anew, so that it outlives the run. */
    function isOwnToRenew(claim: Claim): boolean {
        return isSameProcess(claim, identity) && ageOf(claim) > RENEWAL_AGE_MILLISECONDS;
    }

    function write(shard: Shard, known: ReadClaims): void {
        const kept = (known.record?.claims ?? []).filter(claim => !isOld(claim) && !shard.pending.has(claim.key));
        const room = Math.max(0, mostClaims - kept.length);
        const keys = [...shard.pending.keys()].slice(0, room);
        for (const key of [...shard.pending.keys()].slice(room)) {
            giveUp(shard, key);
        }
        if (keys.length === 0) {
            return;
        }
        const record = {
            writeIdentifier: options.identifiers(),
            claims: [...kept, ...keys.map(key => claimOf(shard, key))],
        };
        const attempt = beginAttempt(shard, { keys, record });
        effects.push({
            type: "write",
            attempt,
            shard: shard.number,
            storeKey: storeKeyOf(shard),
            expectedRevision: known.revision,
            record,
        });
    }

    function claimOf(shard: Shard, key: string): Claim {
        const { host, incarnation } = identity;
        const bodyHash = shard.pending.get(key)?.bodyHash ?? "";
        const claimedAtMilliseconds = Math.round(now + options.wallClockOffsetMilliseconds);
        return { key, bodyHash, host, incarnation, claimedAtMilliseconds };
    }

    /** Answers a claim that cannot be made now: `not-claimed` only where no write can have held it. */
    function giveUp(shard: Shard, key: string): void {
        answerRecorded(shard, (shard.seen?.claims ?? []).filter(claim => claim.key === key));
        const pending = shard.pending.get(key);
        if (pending === undefined) {
            return;
        }
        shard.pending.delete(key);
        const absent = shard.seen !== undefined && shard.seen.claims.every(claim => claim.key !== key);
        const proof = absent ? { absentSinceMilliseconds: shard.seen?.atMilliseconds ?? 0 } : {};
        effects.push(
            pending.mayBeWritten
                ? { type: "claim-failed", key, ...proof }
                : { type: "claim-answered", key, outcome: "not-claimed", ...proof },
        );
    }

    function learn(shard: Shard, known: ReadClaims): void {
        const atMilliseconds = shard.attempt?.beganAtMilliseconds ?? now;
        shard.seen = { claims: known.record?.claims ?? [], atMilliseconds };
        const firstRead = startedAt + FIRST_READ_MILLISECONDS;
        shard.readAgainAtMilliseconds = now < firstRead ? firstRead : now + READ_INTERVAL_MILLISECONDS;
        shard.attempt = undefined;
        shard.known = known;
        advance(shard);
    }

    function written(shard: Shard, revision: number): void {
        const write = shard.attempt?.write;
        if (write === undefined) {
            return;
        }
        learn(shard, { revision, record: write.record });
    }

    function readFailed(shard: Shard): void {
        shard.attempt = undefined;
        shard.readAgainAtMilliseconds = now + READ_RETRY_MILLISECONDS;
        for (const key of [...shard.pending.keys()]) {
            giveUp(shard, key);
        }
    }

    function writeFailed(shard: Shard, notSent: boolean): void {
        const keys = shard.attempt?.write?.keys ?? [];
        shard.attempt = undefined;
        for (const key of keys) {
            const pending = shard.pending.get(key);
            if (pending !== undefined && !notSent) {
                pending.mayBeWritten = true;
            }
            if (notSent) {
                giveUp(shard, key);
            }
        }
        shard.known = notSent ? shard.known : undefined;
        advance(shard);
    }

    function claim(key: string, bodyHash: string): void {
        const shard = shardOf(hashText(key) % shardCount);
        const present = shard.pending.get(key);
        if (present === undefined) {
            shard.pending.set(key, { bodyHash, mayBeWritten: false });
        }
        else if (present.bodyHash !== bodyHash) {
            effects.push({ type: "claim-answered", key, outcome: "other-body" });
        }
        advance(shard);
    }

    function readAgain(): void {
        for (let number = 0; number < shardCount; number += 1) {
            const shard = shardOf(number);
            const soon = now + (number + 1) * READ_SPREAD_MILLISECONDS;
            shard.readAgainAtMilliseconds = Math.min(shard.readAgainAtMilliseconds, soon);
        }
    }

    function tick(): void {
        for (let number = 0; number < shardCount; number += 1) {
            tickShard(shardOf(number));
        }
    }

    function tickShard(shard: Shard): void {
        const { attempt } = shard;
        if (attempt === undefined) {
            if (now >= shard.readAgainAtMilliseconds) {
                read(shard);
            }
            return;
        }
        if (now < attempt.beganAtMilliseconds + storeMilliseconds) {
            return;
        }
        if (attempt.write === undefined) {
            readFailed(shard);
        }
        else {
            writeFailed(shard, false);
        }
    }

    function withAttempt(
        message: { readonly shard: number; readonly attempt: number; },
        then: (shard: Shard) => void,
    ): void {
        const shard = shardOf(message.shard);
        if (shard.attempt?.number === message.attempt) {
            then(shard);
        }
    }

    function handle(received: ClaimBatcherMessage, nowMilliseconds: number): readonly ClaimBatcherEffect[] {
        effects = [];
        now = nowMilliseconds;
        startedAt = startedAt === 0 ? now : startedAt;
        match(received)
            .with({ type: "claim" }, ({ key, bodyHash }) => claim(key, bodyHash))
            .with({ type: "read-answered" }, message => withAttempt(message, shard => learn(shard, message.read)))
            .with({ type: "read-failed" }, message => withAttempt(message, readFailed))
            .with({ type: "written" }, message => withAttempt(message, shard => written(shard, message.revision)))
            .with({ type: "conflict" }, message => withAttempt(message, shard => learn(shard, message.current)))
            .with(
                { type: "write-failed" },
                message => withAttempt(message, shard => writeFailed(shard, message.notSent)),
            )
            .with({ type: "peers-changed" }, readAgain)
            .with({ type: "tick" }, tick)
            .exhaustive();
        return effects;
    }

    return { handle };
}
