/**
 * Connections that carry orders to one incarnation of an engine.
 *
 * The first answer on a connection names the engine's incarnation. A connection ends with the process at its other end,
 * so an order on it can never reach a later incarnation, even if its bytes are delayed.
 *
 * @module
 */
import { Err, Ok, type Result } from "ts-results-es";
import { type EngineOrder, type EngineOrderAnswer, engineOrderAnswerSchema } from "../generated/upstreams.js";
import { type AnswerFault } from "../transport/answers/index.js";
import { parseAnswer, readReportOn } from "./_answers.js";
import { SingleConnection } from "./_singleConnection.js";
import { type UpstreamError } from "./types.js";

const MAXIMUM_IDLE_CONNECTIONS = 4;
const MAXIMUM_ANSWER_BYTES = 1024 * 1024;

/** Address of the engine, and limits on the calls that carry orders. */
export interface OrderConnectionsOptions {
    readonly url: string;
    readonly connectTimeoutMilliseconds: number;
    /** Called with what is wrong with a broken answer, which counts as none. */
    readonly onBroken?: ((fault: AnswerFault) => void) | undefined;
    /** Time limit for reading the report that names the incarnation. */
    readonly reportTimeoutMilliseconds: number;
    readonly orderTimeoutMilliseconds: number;
    readonly maximumConcurrentOrders: number;
}

/** A connection that leads to a known incarnation of the engine. */
interface VerifiedConnection {
    readonly connection: SingleConnection;
    readonly incarnation: string;
}

/** Pool of connections that carry orders to one engine. */
export class OrderConnections {
    readonly #options: OrderConnectionsOptions;
    readonly #open = new Set<SingleConnection>();
    #idle: VerifiedConnection[] = [];
    #ordersInFlight = 0;

    constructor(options: OrderConnectionsOptions) {
        this.#options = options;
    }

    /** Sends an order at most once, on a connection whose first answer named the incarnation. */
    async send(order: EngineOrder, incarnation: string): Promise<Result<EngineOrderAnswer, UpstreamError>> {
        if (this.#ordersInFlight >= this.#options.maximumConcurrentOrders) {
            return Err({ kind: "not-sent", message: `${this.#ordersInFlight} orders are already in flight` });
        }
        this.#ordersInFlight += 1;
        try {
            const verified = await this.#acquire(incarnation);
            return verified.isErr() ? verified : await this.#sendOn(verified.value, order);
        }
        finally {
            this.#ordersInFlight -= 1;
        }
    }

    async close(): Promise<void> {
        await Promise.all([...this.#open].map(connection => connection.close()));
    }

    async #sendOn(
        verified: VerifiedConnection,
        order: EngineOrder,
    ): Promise<Result<EngineOrderAnswer, UpstreamError>> {
        const answer = await verified.connection.call({
            method: "POST",
            path: "/admin/orders",
            headers: { "content-type": "application/json" },
            body: JSON.stringify(order),
            timeoutMilliseconds: this.#options.orderTimeoutMilliseconds,
            maximumAnswerBytes: MAXIMUM_ANSWER_BYTES,
        });
        const parsed = answer.andThen(httpAnswer => parseAnswer(engineOrderAnswerSchema, httpAnswer));
        await this.#release(verified, answer.isOk());
        return parsed.andThen(orderAnswer =>
            orderAnswer.incarnation === verified.incarnation
                ? Ok(orderAnswer)
                : Err({ kind: "invalid", message: `the answer names incarnation ${orderAnswer.incarnation}` })
        );
    }

    /** Returns an idle connection to the incarnation, or opens a new one. */
    async #acquire(incarnation: string): Promise<Result<VerifiedConnection, UpstreamError>> {
        const usable = this.#idle.find(idle => idle.incarnation === incarnation && !idle.connection.ended);
        if (usable !== undefined) {
            this.#idle = this.#idle.filter(idle => idle !== usable);
            return Ok(usable);
        }
        return this.#openVerified(incarnation);
    }

    /** Opens a connection and reads a report on it to verify the incarnation. On failure, the order was not sent. */
    async #openVerified(incarnation: string): Promise<Result<VerifiedConnection, UpstreamError>> {
        const connection = new SingleConnection(this.#options.url, this.#options);
        this.#open.add(connection);
        const report = await readReportOn(connection, this.#options.reportTimeoutMilliseconds);
        if (report.isOk() && report.value.incarnation === incarnation) {
            return Ok({ connection, incarnation });
        }
        await this.#discard(connection);
        const message = report.isOk()
            ? `the engine's current incarnation is ${report.value.incarnation}`
            : report.error.message;
        return Err({ kind: "not-sent", message });
    }

    /** Returns a connection to the pool; closes it where it failed, has ended, or the pool is full. */
    async #release(verified: VerifiedConnection, usable: boolean): Promise<void> {
        this.#idle = this.#idle.filter(idle => !idle.connection.ended);
        const isReusable = usable && !verified.connection.ended && this.#idle.length < MAXIMUM_IDLE_CONNECTIONS;
        if (isReusable) {
            this.#idle.push(verified);
            return;
        }
        await this.#discard(verified.connection);
    }

    async #discard(connection: SingleConnection): Promise<void> {
        this.#open.delete(connection);
        await connection.close();
    }
}
