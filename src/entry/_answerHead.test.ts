/**
 * All answers of upstreams against what their callers may be told of them.
 *
 * @module
 */
import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { HEADERS } from "../../platform/names.js";
import { type AttemptFailure, decideWithoutRetry, provesNotRun } from "../forwarding/index.js";
import { checkHead, readLoad } from "./_answerHead.js";

const OWN_ID = "request-1";

/** Statuses that promise a caller that its request has not run and never will. */
const PROMISES = [408, 421, 429, 503];

const STATUSES = [200, 204, 302, 400, 404, 500, 502, 504, ...PROMISES];

/** An answer, and the state of the request that it belongs to. */
interface AnswerCase {
    readonly status: number;
    readonly id: string | undefined;
    readonly isNotRun: boolean;
    readonly hasReceipt: boolean;
    readonly answerBegun: boolean;
    readonly mayRetry: boolean;
}

function listCases(): AnswerCase[] {
    const flags = [true, false];
    return STATUSES.flatMap(status =>
        [OWN_ID, "another", undefined].flatMap(id =>
            flags.flatMap(isNotRun =>
                flags.flatMap(hasReceipt =>
                    flags.flatMap(answerBegun =>
                        flags.map(mayRetry => ({ status, id, isNotRun, hasReceipt, answerBegun, mayRetry }))
                    )
                )
            )
        )
    );
}

/** Returns the failure of the attempt that got an answer; `undefined` where the answer is forwarded. */
function failureOf(
    { answerBegun, hasReceipt, id, isNotRun, mayRetry, status }: AnswerCase,
): AttemptFailure | undefined {
    const head = {
        status,
        rawHeaders: [],
        headers: {
            ...id === undefined ? {} : { [HEADERS.requestId]: id },
            ...isNotRun ? { [HEADERS.notRun]: "1" } : {},
            ...hasReceipt ? { [HEADERS.receipt]: "receipt" } : {},
        },
    };
    const expectation = {
        requestId: OWN_ID,
        upstream: "i-1",
        namesModel: false,
        answerBegun,
        mayRetryError: () => mayRetry,
    };
    return checkHead(head, expectation, HEADERS);
}

/** Returns whether the upstream said in its answer to this request that it did not run it. */
function isProof({ id, isNotRun, status }: AnswerCase): boolean {
    return id === OWN_ID && (isNotRun || status === 421);
}

describe("each answer of an upstream", () => {
    // Guards against passing on a 503 of an upstream that ran the request, which callers take for a promise.
    test("is not forwarded with a status that promises that the request did not run", () => {
        for (const answer of listCases().filter(({ status }) => PROMISES.includes(status))) {
            assert.notEqual(failureOf(answer), undefined, JSON.stringify(answer));
        }
    });

    // Guards against a late second answer to one request that counts as the answer to the next one, which then runs twice.
    test("counts as proof that the request did not run only where the upstream says so", () => {
        for (const answer of listCases()) {
            const failure = failureOf(answer);
            const isTakenAsProof = failure !== undefined && provesNotRun(failure);
            assert.ok(!isTakenAsProof || isProof(answer), JSON.stringify(answer));
        }
    });

    test("that proves nothing ends an order that may not be repeated without a promise", () => {
        for (const answer of listCases().filter(candidate => !isProof(candidate))) {
            const failure = failureOf(answer);
            if (failure !== undefined) {
                const decision = decideWithoutRetry({
                    kind: "non-idempotent",
                    resumable: false,
                    failure,
                    attemptsThatMayHaveRun: provesNotRun(failure) ? 0 : 1,
                    rejectedSends: 0,
                    maximumAttempts: 1,
                    answerBegun: answer.answerBegun,
                    isPassedOn: false,
                });
                assert.notEqual(decision.type, "refuse", JSON.stringify(answer));
            }
        }
    });

    test("is forwarded where it is this request's, proves its run and promises nothing", () => {
        for (const status of STATUSES.filter(candidate => !PROMISES.includes(candidate))) {
            const answer = {
                status,
                id: OWN_ID,
                isNotRun: false,
                hasReceipt: true,
                answerBegun: false,
                mayRetry: false,
            };
            assert.equal(failureOf(answer), undefined, String(status));
        }
    });
});

test("a fourth figure of the load that is no usable number is no figure, and does not cost the other three", () => {
    const loadOf = (text: string) => readLoad({ status: 200, headers: { [HEADERS.load]: text } }, HEADERS);
    const load = { running: 3, waiting: 1, slots: 12 };
    assert.deepEqual(loadOf("3,1,12,250"), { ...load, slowdown: 2.5 });
    for (const figure of ["", ",", ",x", ",-100", ",0", ",Infinity", ",NaN"]) {
        assert.deepEqual(loadOf(`3,1,12${figure}`), load, figure);
    }
    assert.equal(loadOf("3,x,12,100"), undefined);
});
