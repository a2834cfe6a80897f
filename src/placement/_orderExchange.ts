import { REPORT_LAG_MILLISECONDS } from "./_engineReports.js";
import { type EngineOrder, type OrderOutcome } from "./types.js";

/** The orders of the holder to an engine, which are sent one at a time, and the number that the engine has accepted. */
export class OrderExchange {
    /** Number of orders that the engine has accepted: from its last report, plus those accepted since. */
    #orderCount = 0;
    #open: EngineOrder | undefined;
    #unanswered: EngineOrder | undefined;
    #lastAnswerAtMilliseconds = Number.NEGATIVE_INFINITY;

    get orderCount(): number {
        return this.#orderCount;
    }

    /** True while an order that was sent has no outcome yet. */
    get hasOpen(): boolean {
        return this.#open !== undefined;
    }

    /** The last order, where no answer came to it and it is not sent again yet. */
    get unanswered(): EngineOrder | undefined {
        return this.#unanswered;
    }

    /** Creates an order for the state that the engine has after those that it has accepted. */
    create({ adapter, model, operation }: Omit<EngineOrder, "expectedOrderCount">): EngineOrder {
        return { operation, model, adapter, expectedOrderCount: this.#orderCount };
    }

    recordSent(order: EngineOrder): void {
        this.#open = order;
        this.#unanswered = undefined;
    }

    /** Records the outcome of the open order; returns false for that of any other, which is ignored. */
    recordOutcome(order: EngineOrder, outcome: OrderOutcome, nowMilliseconds: number): boolean {
        if (this.#open !== order) {
            return false;
        }
        this.#open = undefined;
        this.#lastAnswerAtMilliseconds = nowMilliseconds;
        this.#unanswered = outcome === "unknown" ? order : this.#unanswered;
        const isCounted = outcome === "accepted" || (outcome === "holds" && order.operation === "unload");
        this.#orderCount += isCounted ? 1 : 0;
        return true;
    }

    /** Returns whether a report was written before the last order: it then counts fewer orders. */
    isOutdated({ orderCount }: { readonly orderCount: number; }, nowMilliseconds: number): boolean {
        const mayLag = nowMilliseconds - this.#lastAnswerAtMilliseconds < REPORT_LAG_MILLISECONDS;
        return mayLag && orderCount < this.#orderCount;
    }

    /** Records the number of accepted orders that the engine reports. */
    recordReported(orderCount: number): void {
        this.#orderCount = orderCount;
    }

    /** Forgets the orders to an earlier incarnation of the engine. */
    reset(): void {
        this.#orderCount = 0;
        this.#open = undefined;
        this.#unanswered = undefined;
    }
}
