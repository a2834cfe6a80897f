/**
 * Claims order keys in the key-value service, many keys in one compare-and-swap of a shard's record.
 *
 * @module
 */
import { match } from "ts-pattern";
import { type Decision, hashText, type IdentifierSource } from "../decision/index.js";
import { type ClaimRecord } from "../generated/platform.js";
import { isSameProcess, type ProcessName } from "./orderKey.js";

/** A shard's record as it was read or written. */
export interface VersionedClaims {
    /** Revision of the record's store key; 0 where it does not exist. */
    readonly revision: number;
    readonly record: ClaimRecord | undefined;
}

/** Messages that the claim batcher handles; `attempt` is that of the effect which the message answers. */
export type ClaimBatcherMessage =
    | { readonly type: "claim"; readonly key: string; readonly bodyHash: string; }
    | {
        readonly type: "read-answered";
        readonly attempt: number;
        readonly shard: number;
        readonly read: VersionedClaims;
    }
    | { readonly type: "read-failed"; readonly attempt: number; readonly shard: number; }
    | { readonly type: "written"; readonly attempt: number; readonly shard: number; readonly revision: number; }
    | {
        readonly type: "conflict";
        readonly attempt: number;
        readonly shard: number;
        readonly current: VersionedClaims;
    }
    /** `notSent` is true only where the write cannot have taken effect. */
    | { readonly type: "write-failed"; readonly attempt: number; readonly shard: number; readonly notSent: boolean; }
    /** A peer was lost or discovered; the records are read again, to prove that keys are absent since the change. */
    | { readonly type: "peers-changed"; }
    | { readonly type: "tick"; };

/** Actions that the claim batcher requests; the last two are messages to the orders decision. */
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
    /** Creates the identifier of each write. */
    readonly identifiers: IdentifierSource;
    /** Unix time minus the decision's clock. */
    readonly wallClockOffsetMilliseconds: number;
    /** Number of records that keys are distributed over; the same on every host; by default 32. */
    readonly shards?: number;
    /** Age at which a claim expires; by default 25 minutes. */
    readonly maximumClaimAgeMilliseconds?: number;
    /** Maximum claims in one record; by default 3,000. */
    readonly maximumClaims?: number;
    /** Time limit of a read or write; by default 1,500. */
    readonly storeTimeoutMilliseconds?: number;
}

type Claim = ClaimRecord["claims"][number];

interface PendingClaim {
    readonly bodyHash: string;
    /** True after a write of this claim whose outcome is unknown. */
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
    known: VersionedClaims | undefined;
    /** The last record read or written, kept also where it may have changed; complete as of its time. */
    lastSeen: { readonly claims: ClaimRecord["claims"]; readonly atMilliseconds: number; } | undefined;
    attempt: Attempt | undefined;
    nextReadAtMilliseconds: number;
}

const DEFAULT_SHARDS = 32;
const DEFAULT_MAXIMUM_CLAIM_AGE_MILLISECONDS = 1_500_000;
const DEFAULT_MAXIMUM_CLAIMS = 3_000;
const DEFAULT_STORE_TIMEOUT_MILLISECONDS = 1_500;
/** Delay from the start to the read of every record, so that the records are known before an outage. */
const FIRST_READ_DELAY_MILLISECONDS = 2_500;
const READ_INTERVAL_MILLISECONDS = 300_000;
/** Interval between the reads of successive records after a change of peers. */
const READ_STAGGER_MILLISECONDS = 50;
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
    const maximumClaimAgeMilliseconds = options.maximumClaimAgeMilliseconds ?? DEFAULT_MAXIMUM_CLAIM_AGE_MILLISECONDS;
    const maximumClaims = options.maximumClaims ?? DEFAULT_MAXIMUM_CLAIMS;
    const storeTimeoutMilliseconds = options.storeTimeoutMilliseconds ?? DEFAULT_STORE_TIMEOUT_MILLISECONDS;
    const shards = new Map<number, Shard>();
    let attempts = 0;
    let now = 0;
    let startedAtMilliseconds = 0;
    let effects: ClaimBatcherEffect[] = [];

    function shardOf(number: number): Shard {
        const existing = shards.get(number);
        if (existing !== undefined) {
            return existing;
        }
        const shard: Shard = {
            number,
            pending: new Map(),
            known: undefined,
            lastSeen: undefined,
            attempt: undefined,
            nextReadAtMilliseconds: startedAtMilliseconds + FIRST_READ_DELAY_MILLISECONDS,
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
        answerDecided(shard, shard.known.record?.claims ?? []);
        if (shard.pending.size > 0) {
            write(shard, shard.known);
        }
    }

    function read(shard: Shard): void {
        const attempt = beginAttempt(shard, undefined);
        effects.push({ type: "read", attempt, shard: shard.number, storeKey: storeKeyOf(shard) });
    }

    /** Answers the pending claims whose outcome the record determines. */
    function answerDecided(shard: Shard, claims: ClaimRecord["claims"]): void {
        for (const claim of claims) {
            const pending = shard.pending.get(claim.key);
            if (pending === undefined || isExpired(claim) || needsRenewal(claim)) {
                continue;
            }
            const claimedBy = { host: claim.host, incarnation: claim.incarnation };
            const isOwn = isSameProcess(claimedBy, identity);
            const isSameBody = claim.bodyHash === pending.bodyHash;
            shard.pending.delete(claim.key);
            const outcome = isSameBody ? isOwn ? "claimed" : "claimed-by-another" : "other-body";
            effects.push({ type: "claim-answered", key: claim.key, outcome, claimedBy });
        }
    }

    function ageOf(claim: Claim): number {
        return now + options.wallClockOffsetMilliseconds - claim.claimedAtMilliseconds;
    }

    function isExpired(claim: Claim): boolean {
        return ageOf(claim) > maximumClaimAgeMilliseconds;
    }

    /** Returns whether an unused claim of this process must be written again, so that it outlives the order's execution. */
    function needsRenewal(claim: Claim): boolean {
        return isSameProcess(claim, identity) && ageOf(claim) > RENEWAL_AGE_MILLISECONDS;
    }

    function write(shard: Shard, known: VersionedClaims): void {
        const kept = (known.record?.claims ?? []).filter(claim => !isExpired(claim) && !shard.pending.has(claim.key));
        const room = Math.max(0, maximumClaims - kept.length);
        const keys = [...shard.pending.keys()].slice(0, room);
        for (const key of [...shard.pending.keys()].slice(room)) {
            answerUnclaimed(shard, key);
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

    /** Answers a claim that cannot be made now: `not-claimed` only where no write can have contained it. */
    function answerUnclaimed(shard: Shard, key: string): void {
        answerDecided(shard, (shard.lastSeen?.claims ?? []).filter(claim => claim.key === key));
        const pending = shard.pending.get(key);
        if (pending === undefined) {
            return;
        }
        shard.pending.delete(key);
        const isAbsent = shard.lastSeen !== undefined && shard.lastSeen.claims.every(claim => claim.key !== key);
        const proof = isAbsent ? { absentSinceMilliseconds: shard.lastSeen?.atMilliseconds ?? 0 } : {};
        effects.push(
            pending.mayBeWritten
                ? { type: "claim-failed", key, ...proof }
                : { type: "claim-answered", key, outcome: "not-claimed", ...proof },
        );
    }

    function applyRecord(shard: Shard, known: VersionedClaims): void {
        const atMilliseconds = shard.attempt?.beganAtMilliseconds ?? now;
        shard.lastSeen = { claims: known.record?.claims ?? [], atMilliseconds };
        const firstReadAtMilliseconds = startedAtMilliseconds + FIRST_READ_DELAY_MILLISECONDS;
        shard.nextReadAtMilliseconds = now < firstReadAtMilliseconds
            ? firstReadAtMilliseconds
            : now + READ_INTERVAL_MILLISECONDS;
        shard.attempt = undefined;
        shard.known = known;
        advance(shard);
    }

    function handleWritten(shard: Shard, revision: number): void {
        const write = shard.attempt?.write;
        if (write === undefined) {
            return;
        }
        applyRecord(shard, { revision, record: write.record });
    }

    function handleReadFailure(shard: Shard): void {
        shard.attempt = undefined;
        shard.nextReadAtMilliseconds = now + READ_RETRY_MILLISECONDS;
        for (const key of [...shard.pending.keys()]) {
            answerUnclaimed(shard, key);
        }
    }

    function handleWriteFailure(shard: Shard, notSent: boolean): void {
        const keys = shard.attempt?.write?.keys ?? [];
        shard.attempt = undefined;
        for (const key of keys) {
            const pending = shard.pending.get(key);
            if (pending !== undefined && !notSent) {
                pending.mayBeWritten = true;
            }
            if (notSent) {
                answerUnclaimed(shard, key);
            }
        }
        shard.known = notSent ? shard.known : undefined;
        advance(shard);
    }

    function claim(key: string, bodyHash: string): void {
        const shard = shardOf(hashText(key) % shardCount);
        const existing = shard.pending.get(key);
        if (existing === undefined) {
            shard.pending.set(key, { bodyHash, mayBeWritten: false });
        }
        else if (existing.bodyHash !== bodyHash) {
            effects.push({ type: "claim-answered", key, outcome: "other-body" });
        }
        advance(shard);
    }

    function scheduleReads(): void {
        for (let number = 0; number < shardCount; number += 1) {
            const shard = shardOf(number);
            const staggeredAtMilliseconds = now + (number + 1) * READ_STAGGER_MILLISECONDS;
            shard.nextReadAtMilliseconds = Math.min(shard.nextReadAtMilliseconds, staggeredAtMilliseconds);
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
            if (now >= shard.nextReadAtMilliseconds) {
                read(shard);
            }
            return;
        }
        if (now < attempt.beganAtMilliseconds + storeTimeoutMilliseconds) {
            return;
        }
        if (attempt.write === undefined) {
            handleReadFailure(shard);
        }
        else {
            handleWriteFailure(shard, false);
        }
    }

    function withCurrentAttempt(
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
        startedAtMilliseconds = startedAtMilliseconds === 0 ? now : startedAtMilliseconds;
        match(received)
            .with({ type: "claim" }, ({ key, bodyHash }) => claim(key, bodyHash))
            .with(
                { type: "read-answered" },
                message => withCurrentAttempt(message, shard => applyRecord(shard, message.read)),
            )
            .with({ type: "read-failed" }, message => withCurrentAttempt(message, handleReadFailure))
            .with(
                { type: "written" },
                message => withCurrentAttempt(message, shard => handleWritten(shard, message.revision)),
            )
            .with(
                { type: "conflict" },
                message => withCurrentAttempt(message, shard => applyRecord(shard, message.current)),
            )
            .with(
                { type: "write-failed" },
                message => withCurrentAttempt(message, shard => handleWriteFailure(shard, message.notSent)),
            )
            .with({ type: "peers-changed" }, scheduleReads)
            .with({ type: "tick" }, tick)
            .exhaustive();
        return effects;
    }

    return { handle };
}
