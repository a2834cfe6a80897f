/**
 * Measures the processor time and memory that an order costs its owner and its witness.
 *
 * @module
 */
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { createSeededRandom } from "../../src/decision/index.js";
import { type Deployment } from "../../src/generated/deployment.js";
import { type HostIdentity } from "../../src/generated/peers.js";
import {
    createOrdersDecision,
    hashOrderBody,
    type OrdersDecision,
    type OrdersMessage,
} from "../../src/orders/index.js";

/** Cost of one order. */
export interface OrderCost {
    readonly microseconds: number;
    readonly ownerBytes: number;
    readonly witnessBytes: number;
    readonly keyCharacters: number;
}

const ORDERS = 10_000;
/** A time by which every order key has expired. */
const AFTER_EXPIRY_MILLISECONDS = 1_000_000_000;
const RESULT = { status: 200, contentType: "application/json", body: JSON.stringify({ accepted: true }) };

function identityOf(host: string, zone: string): HostIdentity {
    const incarnation = `${host}-0f8fad5b-d9cb-469f-a165-70867728950e`;
    return { host, incarnation, zone, region: "ma-west", callersUrl: "", peersUrl: "" };
}

function usedBytes(): number {
    setFlagsFromString("--expose-gc");
    const collectGarbage = runInNewContext("gc") as () => void;
    collectGarbage();
    return process.memoryUsage().heapUsed;
}

/** Delivers the owner's requests to the witness and the answers back without delay. */
function exchange(owner: OrdersDecision, witness: OrdersDecision, first: OrdersMessage): void {
    const queue: OrdersMessage[] = [first];
    for (let message = queue.shift(); message !== undefined; message = queue.shift()) {
        for (const effect of owner.handle(message, 1)) {
            if (effect.type === "dispatch") {
                queue.push({ type: "dispatch-answered", key: effect.order.key, result: RESULT });
            }
            if (effect.type !== "ask-witness") {
                continue;
            }
            const { key, request } = effect;
            const [answer] = witness.handle({ type: "witness-asked", identifier: key, request }, 1);
            if (answer?.type === "answer-witness") {
                queue.push({ type: "witness-answered", key, request: request.type, answer: answer.answer });
            }
        }
    }
}

/**
 * Runs orders through an owner and its witness.
 *
 * @param deployment A deployment with the call `cut` of the service `line`.
 * @returns Processor time of both hosts together, and memory retained on each, per order with a small result.
 */
export function measureOrderCost(deployment: Deployment): OrderCost {
    const [ownerIdentity, witnessIdentity] = [identityOf("host-1", "a"), identityOf("host-2", "b")];
    const [owner, witness] = [ownerIdentity, witnessIdentity].map(identity => {
        const random = createSeededRandom(1);
        return createOrdersDecision({ identity, random, wallClockOffsetMilliseconds: 0 });
    }) as [OrdersDecision, OrdersDecision];
    for (const decision of [owner, witness]) {
        decision.handle({ type: "deployment", deployment, revision: 1 }, 0);
        decision.handle({ type: "peers", identities: [ownerIdentity, witnessIdentity] }, 0);
    }
    const ticket = owner.ticketFor(ownerIdentity);
    const start = performance.now();
    for (let number = 0; number < ORDERS; number += 1) {
        const call = { service: "line", call: "cut", body: `{"reel":${number}}` };
        const key = `${ticket}/${number.toString().padStart(36, "0")}`;
        const order = { ...call, key, contentType: "application/json", bodyHash: hashOrderBody(call) };
        const identifier = number.toString();
        exchange(owner, witness, { type: "order-received", identifier, from: "caller", order });
    }
    const microseconds = (performance.now() - start) * 1000 / ORDERS;
    const bytesWithBoth = usedBytes();
    witness.handle({ type: "tick" }, AFTER_EXPIRY_MILLISECONDS);
    const bytesWithoutWitness = usedBytes();
    owner.handle({ type: "tick" }, AFTER_EXPIRY_MILLISECONDS);
    const bytesWithoutBoth = usedBytes();
    return {
        microseconds,
        ownerBytes: (bytesWithoutWitness - bytesWithoutBoth) / ORDERS,
        witnessBytes: (bytesWithBoth - bytesWithoutWitness) / ORDERS,
        keyCharacters: ticket.length + 37,
    };
}
