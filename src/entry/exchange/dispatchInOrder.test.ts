import assert from "node:assert/strict";
import { test } from "node:test";
import { dispatchInOrder, type WaitingRequest } from "./dispatchInOrder.js";
import { type WaitingRank } from "./waitingRank.js";

/** A request that counts its dispatches. */
class CountedRequest implements WaitingRequest {
    isWaiting = true;
    lacksCopies = false;
    slotsLeftFree = 0;
    dispatchCount = 0;
    rankCount = 0;
    readonly waitKey: string | undefined;
    readonly #arrivedAt: number;
    readonly #onDispatch: (request: CountedRequest) => void;

    constructor(
        waitKey: string | undefined,
        arrivedAt: number,
        onDispatch: (request: CountedRequest) => void = () => undefined,
    ) {
        this.waitKey = waitKey;
        this.#arrivedAt = arrivedAt;
        this.#onDispatch = onDispatch;
    }

    get rank(): WaitingRank {
        this.rankCount += 1;
        return [0, 0, this.#arrivedAt];
    }

    dispatch(): void {
        this.dispatchCount += 1;
        this.#onDispatch(this);
    }
}

function wake(requests: readonly CountedRequest[], includesLacking = false): void {
    dispatchInOrder(requests, { includesLacking }).forEach(step => step());
}

test("one of the requests that can go to the same upstreams is dispatched while none can be sent", () => {
    const requests = Array.from({ length: 30 }, (_, index) => new CountedRequest(`model-${index % 3}`, index));
    wake(requests);
    assert.deepEqual(requests.map(({ dispatchCount }) => dispatchCount), [1, 1, 1, ...Array<number>(27).fill(0)]);
    assert.ok(requests.every(({ rankCount }) => rankCount === 1));
});

test("the most urgent are sent first, until one cannot be", () => {
    const order: CountedRequest[] = [];
    const send = (request: CountedRequest): void => {
        order.push(request);
        request.isWaiting = order.length === 3;
    };
    const [third, first, last, second] = [30, 10, 40, 20].map(at => new CountedRequest("model", at, send));
    wake([third, first, last, second].filter(request => request !== undefined));
    assert.deepEqual(order, [first, second, third]);
});

test("requests for which no copy has come are dispatched again at each change of a host's load", () => {
    const lacking = Array.from({ length: 20 }, (_, index) => new CountedRequest(`model/a${index}`, index));
    const full = new CountedRequest("model/a1", 100);
    wake([...lacking, full]);
    lacking.forEach(request => request.lacksCopies = true);
    for (let wakes = 0; wakes < 50; wakes += 1) {
        wake([...lacking, full]);
    }
    assert.equal(lacking.reduce((sum, { dispatchCount }) => sum + dispatchCount, 0), 20);
    assert.equal(full.dispatchCount, 50, "held back by the first wake's key only");
    lacking.slice(0, 2).forEach(request => request.lacksCopies = false);
    wake(lacking);
    assert.equal(lacking.reduce((sum, { dispatchCount }) => sum + dispatchCount, 0), 22);
    wake(lacking, true);
    assert.equal(lacking.reduce((sum, { dispatchCount }) => sum + dispatchCount, 0), 42);
});

test("a request that leaves several slots free holds back those that need not", () => {
    const requests = [2, 1, 2, 0].map((slotsLeftFree, index) => {
        const request = new CountedRequest("model", index);
        request.slotsLeftFree = slotsLeftFree;
        return request;
    });
    wake(requests);
    assert.deepEqual(requests.map(({ dispatchCount }) => dispatchCount), [1, 1, 0, 1]);
});
