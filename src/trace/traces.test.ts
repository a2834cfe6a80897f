import assert from "node:assert/strict";
import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { test } from "node:test";
import * as z from "zod";
import { createSeededRandom } from "../decision/index.js";
import { hostIdentitySchema } from "../generated/peers.js";
import { createOrdersDecision } from "../orders/index.js";
import { createRequestsDecision } from "../requests/index.js";
import { parseTrace, recordDecision, renderTrace, replayTrace, type Trace, type TraceHeader } from "./index.js";

const TRACE_FOLDER = join("tests", "traces");

const ordersOptionsSchema = z.object({
    identity: hostIdentitySchema,
    seed: z.number(),
    wallClockOffsetMilliseconds: z.number(),
    acceptWhileLeavingMilliseconds: z.number(),
});
const requestsOptionsSchema = z.object({ host: z.string(), seed: z.number(), queuedRequests: z.number() });

function createDecision(header: TraceHeader) {
    if (header.decision === "orders") {
        const { seed, ...options } = ordersOptionsSchema.parse(header.options);
        return createOrdersDecision({ ...options, random: createSeededRandom(seed) });
    }
    const { seed, ...options } = requestsOptionsSchema.parse(header.options);
    return createRequestsDecision({ ...options, random: createSeededRandom(seed) });
}

function readTrace(file: string): Trace {
    return parseTrace(readFileSync(join(TRACE_FOLDER, file), "utf8")).unwrap();
}

for (const file of readdirSync(TRACE_FOLDER).sort()) {
    test(`replaying the recorded trace ${file} meets its expected outcomes`, () => {
        const trace = readTrace(file);
        assert.ok(trace.header.outcomes.length > 0);
        assert.deepEqual(replayTrace(trace, createDecision(trace.header)), []);
    });
}

test("replayTrace returns each expected outcome that the replay does not meet", () => {
    const trace = readTrace("order-owner-dies.jsonl");
    const withoutEffects = { handle: () => [] };
    const unmet = replayTrace(trace, withoutEffects).map(({ outcome, times }) => [outcome.atLeast, times]);
    assert.deepEqual(unmet, [[1, 0], [1, 0]]);
});

test("the trace of a recorded decision can be rendered and parsed back", () => {
    const entries: { atMilliseconds: number; message: { type: "tick"; }; }[] = [];
    const recorded = recordDecision(
        { handle: (message: { type: "tick"; }) => [message] },
        entry => void entries.push(entry),
    );
    recorded.handle({ type: "tick" }, 7);
    const trace: Trace = { header: { decision: "any", options: {}, outcomes: [] }, entries };
    assert.deepEqual(parseTrace(renderTrace(trace)).unwrap(), trace);
});

test("the error for an invalid trace names the line", () => {
    const header = renderTrace({ header: { decision: "any", options: {}, outcomes: [] }, entries: [] });
    assert.match(parseTrace(`${header}{"atMilliseconds":1}\n`).unwrapErr(), /^line 2: /);
    assert.match(parseTrace("no json\n").unwrapErr(), /^line 1: /);
});
