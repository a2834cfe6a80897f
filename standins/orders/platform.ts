/**
 * Simulated plain service and key-value service, which fail as configured.
 *
 * @module
 */
import { type RandomSource } from "../../src/decision/index.js";
import { type ClaimRecord } from "../../src/generated/platform.js";
import {
    type ClaimBatcherEffect,
    type ClaimBatcherMessage,
    type Order,
    type OrdersMessage,
} from "../../src/orders/index.js";
import { type Execution } from "./history.js";
import { type Schedule } from "./schedule.js";

/** Fault rates of a plain service. */
export interface PlainFaults {
    /** Share of calls whose connection is refused. */
    readonly refusedShare: number;
    /** Share of calls that are executed and whose answer is lost. */
    readonly lostAnswerShare: number;
    /** Share of calls that hang: they are executed late or never, and time out. */
    readonly hangShare: number;
}

/** Faults of the key-value service. */
export interface StoreFaults {
    /** When the service is unreachable. `in turns`: alternately for hosts with an even and an odd index. */
    readonly unreachable: "never" | "always" | "at times" | "in turns";
    readonly lostAnswerShare: number;
}

type StoreCall = Extract<ClaimBatcherEffect, { type: "read" | "write"; }>;

const NETWORK_DELAY_MILLISECONDS = 2;
const MAXIMUM_HANG_MILLISECONDS = 20_000;
const STORE_PERIOD_MILLISECONDS = 8_000;
const STORE_TIMEOUT_MILLISECONDS = 1_000;

/** Creates a function that sends one dispatch to the plain service and delivers the answer. */
export function createPlainService(
    { schedule, random, faults, executions }: {
        readonly schedule: Schedule;
        readonly random: RandomSource;
        readonly faults: PlainFaults;
        readonly executions: Execution[];
    },
): (order: Order, timeoutMilliseconds: number, deliver: (message: OrdersMessage) => void) => void {
    function execute({ key, bodyHash }: Order): string {
        const result = `${key} ${bodyHash} ${executions.length}`;
        executions.push({ key, bodyHash, at: schedule.now, result });
        return result;
    }

    return (order, timeoutMilliseconds, deliver) => {
        const { key } = order;
        const fail = (notSent: boolean): void =>
            deliver({ type: "dispatch-failed", key, notSent, message: "no answer from the plain service" });
        const draw = random();
        if (draw < faults.refusedShare) {
            schedule.after(NETWORK_DELAY_MILLISECONDS, () => fail(true));
            return;
        }
        const hangs = draw < faults.refusedShare + faults.hangShare;
        const lost = draw < faults.refusedShare + faults.hangShare + faults.lostAnswerShare;
        if (hangs || lost) {
            const delayMilliseconds = hangs ? random() * MAXIMUM_HANG_MILLISECONDS : NETWORK_DELAY_MILLISECONDS;
            if (lost || random() < 0.5) {
                schedule.after(delayMilliseconds, () => void execute(order));
            }
            schedule.after(hangs ? timeoutMilliseconds : NETWORK_DELAY_MILLISECONDS, () => fail(false));
            return;
        }
        schedule.after(NETWORK_DELAY_MILLISECONDS + random() * 200, () => {
            const body = execute(order);
            const result = { status: 200, contentType: "text/plain", body };
            schedule.after(NETWORK_DELAY_MILLISECONDS, () => deliver({ type: "dispatch-answered", key, result }));
        });
    };
}

/** Creates a function that sends one read or write to the key-value service and delivers the answer. */
export function createStore(
    { schedule, random, faults }: {
        readonly schedule: Schedule;
        readonly random: RandomSource;
        readonly faults: StoreFaults;
    },
): (host: number, effect: StoreCall, deliver: (message: ClaimBatcherMessage) => void) => void {
    const records = new Map<string, { revision: number; record: ClaimRecord; }>();

    function isUnreachable(host: number): boolean {
        const period = Math.floor(schedule.now / STORE_PERIOD_MILLISECONDS);
        const phase = faults.unreachable === "in turns" ? period + host : period;
        return faults.unreachable === "always" || (faults.unreachable !== "never" && phase % 2 === 1);
    }

    function answer(effect: StoreCall): ClaimBatcherMessage {
        const { attempt, shard, storeKey } = effect;
        const existing = records.get(storeKey);
        const read = { revision: existing?.revision ?? 0, record: existing?.record };
        if (effect.type === "read") {
            return { type: "read-answered", attempt, shard, read };
        }
        if (effect.expectedRevision !== read.revision) {
            return { type: "conflict", attempt, shard, current: read };
        }
        const revision = read.revision + 1;
        records.set(storeKey, { revision, record: effect.record });
        return { type: "written", attempt, shard, revision };
    }

    return (host, effect, deliver) => {
        const { attempt, shard } = effect;
        const fail = (notSent: boolean): void =>
            deliver(
                effect.type === "read"
                    ? { type: "read-failed", attempt, shard }
                    : { type: "write-failed", attempt, shard, notSent },
            );
        if (isUnreachable(host)) {
            schedule.after(NETWORK_DELAY_MILLISECONDS, () => fail(true));
            return;
        }
        const lost = random() < faults.lostAnswerShare;
        const delayMilliseconds = lost ? random() * 2 * STORE_TIMEOUT_MILLISECONDS : NETWORK_DELAY_MILLISECONDS;
        schedule.after(delayMilliseconds, () => {
            const message = answer(effect);
            if (!lost) {
                schedule.after(NETWORK_DELAY_MILLISECONDS, () => deliver(message));
            }
        });
        if (lost) {
            schedule.after(STORE_TIMEOUT_MILLISECONDS, () => fail(false));
        }
    };
}
