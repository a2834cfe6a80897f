/**
 * Each check of the judge finds a planted violation, and passes over what the rules allow.
 *
 * @module
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { judge } from "./judge.js";
import {
    type LeaveRecord,
    type LifeRecord,
    type RequestRecord,
    type RunRecord,
    type SignalRecord,
    type SoakRecord,
    type TroubleRecord,
} from "./records.js";

const MEMORY_BYTES = 160e6;

const request: RequestRecord = {
    type: "request",
    id: "r1",
    kind: "order",
    account: "mill",
    host: "host-1",
    startedAt: 20_000,
    writtenAt: 20_001,
    endedAt: 20_400,
    deadlineMilliseconds: 2_000,
    isSlow: false,
    ending: "answered",
    status: 200,
    signature: "engine-1",
    answeredId: "r1",
    digest: "whole",
};
const run: RunRecord = {
    type: "run",
    id: "r1",
    engine: "engine-1",
    account: "mill",
    hasKey: false,
    at: 20_100,
    status: 200,
    signature: "engine-1",
    digest: "whole",
    isSound: true,
};
const life: LifeRecord = {
    type: "life",
    host: "host-1",
    pid: 7,
    startedAt: 0,
    readyAt: 500,
    endedAt: 60_000,
    exit: undefined,
    peakBytes: 100e6,
};
const kill: SignalRecord = { type: "signal", host: "host-1", pid: 7, signal: "SIGKILL", at: 30_000 };
const trouble: TroubleRecord = { type: "trouble", kind: "freeze", targets: ["host-1"], from: 19_000, until: 19_500 };
const other: RequestRecord = { ...request, id: "r0", kind: "read", signature: "engine-0", answeredId: "r0" };
const sound: readonly SoakRecord[] = [other, { ...run, id: "r0", engine: "engine-0", signature: "engine-0" }, life];
const broken: RequestRecord = { ...request, ending: "broken", status: undefined, signature: undefined };
const killed: LifeRecord = { ...life, endedAt: 30_001, exit: { code: null, signal: "SIGKILL" } };

const leave: LeaveRecord = { type: "leave", engine: "engine-1", at: 18_000 };
const storeTrouble: TroubleRecord = { ...trouble, kind: "store-silent", targets: ["store"] };

/** Plants requests that reached an engine some time after their callers had left. */
function plantGone(count: number, afterMilliseconds: number): SoakRecord[] {
    return Array.from({ length: count }, (_, index) => `gone-${index}`).flatMap(id => [
        { ...broken, id, ending: "left" as const },
        { ...run, id, at: broken.endedAt + afterMilliseconds },
    ]);
}

function rulesOf(...records: readonly SoakRecord[]): string[] {
    return judge([...sound, ...records], MEMORY_BYTES).map(({ rule }) => rule);
}

const PLANTED: Readonly<Record<string, readonly [rule: string, ...records: readonly SoakRecord[]]>> = {
    "an exit with a code": ["FAULT", { ...life, endedAt: 9_000, exit: { code: 1, signal: null } }],
    "an exit with code 0 that nobody asked for": ["FAULT", { ...life, exit: { code: 0, signal: null } }],
    "an exit with a code after SIGTERM": [
        "FAULT",
        { ...kill, signal: "SIGTERM" },
        { ...life, exit: { code: 1, signal: null } },
    ],
    "an end by SIGHUP": ["FAULT", { ...kill, signal: "SIGHUP" }, { ...life, exit: { code: null, signal: "SIGHUP" } }],
    "a kill that is not the soak's": ["FAULT", killed],
    "memory over the machine's": ["FAULT", { ...life, peakBytes: MEMORY_BYTES + 1 }],
    "a process that is never ready": ["FAULT", { ...life, readyAt: undefined }],
    "a process that is ready late": ["FAULT", { ...life, readyAt: 10_001 }],
    "an order that runs twice": ["TWICE", request, run, { ...run, engine: "engine-2", signature: "engine-2" }],
    "a chat that runs twice": ["TWICE", { ...request, kind: "chat" }, run, run],
    "a refused order that ran": ["REFUSED", { ...request, status: 503, signature: undefined }, run],
    "a refused order that runs later": ["REFUSED", { ...request, status: 429, signature: undefined }, {
        ...run,
        at: 50_000,
    }],
    "a success that no engine sent": ["MIXED", request],
    "a success without a signature": ["MIXED", { ...request, signature: undefined }, run],
    "a part of a body that looks complete": ["MIXED", { ...request, digest: "half" }, run],
    "an answer of another request": ["MIXED", { ...request, answeredId: "r2" }, run],
    "an engine's failure as a success": ["MIXED", request, { ...run, status: 500 }],
    "an engine's signature on another status": ["MIXED", { ...request, status: 502 }, run],
    "a request that runs for another account": ["UNASKED", request, { ...run, account: "loom" }],
    "a key that reaches an engine": ["UNASKED", request, { ...run, hasKey: true }],
    "a known key that is refused": ["DENIED", { ...request, status: 401, signature: undefined }],
    "bytes that are no answer": ["MIXED", { ...request, ending: "garbled" }],
    "an order that ran and is not answered": ["LOST", broken, run],
    "an order that was read and is not answered": ["LOST", broken],
    "an answer that ends early": ["LOST", { ...request, ending: "broken" }, run],
    "a request at an engine that has left": ["DRAIN", request, run, leave],
    "requests that reach engines long after their callers left": ["GONE", ...plantGone(4, 600)],
};

const ALLOWED: Readonly<Record<string, readonly SoakRecord[]>> = {
    "an answer": [request, run],
    "a kill by the soak": [kill, killed],
    "a stop by SIGTERM": [{ ...kill, signal: "SIGTERM" }, { ...life, exit: { code: 0, signal: null } }],
    "a start while the store is away": [{ ...trouble, targets: ["store"], from: 0 }, { ...life, readyAt: 20_000 }],
    "a refusal of an order that did not run": [{ ...request, status: 503, signature: undefined }],
    "a read that runs twice": [{ ...request, kind: "read" }, run, run],
    "a read that was refused after a run": [{ ...request, kind: "read", status: 503, signature: undefined }, run],
    "an engine's own failure": [{ ...request, status: 500 }, { ...run, status: 500 }],
    "an answer that ends early and does not look complete": [{ ...broken, isSlow: true, status: 200 }, run],
    "a request that a host did not read": [{ ...broken, endedAt: 20_100 }],
    "a request that has used its time": [{ ...broken, endedAt: 21_500 }, run],
    "a request at a host in trouble": [broken, run, trouble],
    "a request at an engine in trouble": [broken, run, { ...trouble, targets: ["engine-1"] }],
    "a request whose engine broke off": [broken, { ...run, isSound: false }],
    "a request whose host ended": [broken, run, { ...kill, at: 20_390 }, { ...killed, endedAt: 20_395 }],
    "a request whose caller left": [{ ...broken, ending: "left" }, run],
    "a request at an engine that leaves": [request, run, { ...leave, at: 18_200 }],
    "a request at an engine that left while the store was away": [request, run, leave, storeTrouble],
    "a request at an engine that left while its host did not run": [request, run, leave, trouble],
    "a few requests that reach engines long after their callers left": plantGone(3, 600),
    "requests that reach engines just after their callers left": plantGone(8, 400),
};

for (const [name, [rule, ...records]] of Object.entries(PLANTED)) {
    test(`the judge finds ${name}`, () => assert.deepEqual(rulesOf(...records), [rule]));
}

for (const [name, records] of Object.entries(ALLOWED)) {
    test(`the judge allows ${name}`, () => assert.deepEqual(rulesOf(...records), []));
}

test("the judge finds that no request was served", () => {
    assert.deepEqual(judge([life], MEMORY_BYTES).map(({ message }) => message), ["no request was served"]);
});
