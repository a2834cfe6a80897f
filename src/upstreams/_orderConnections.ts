/**
 * Connections that carry orders to one incarnation of an engine.
 *
 * A connection's first answer names the engine's incarnation. A connection lives and dies with the process at its
 * other end, so an order on it can never reach a later incarnation, however late its bytes arrive.
 *
 * @module
 */
import { Err, Ok, type Result } from "ts-results-es";
import { type EngineOrder, type EngineOrderAnswer, engineOrderAnswerSchema } from "../generated/upstreams.js";
import { parseAnswer, readReportOn } from "./_answers.js";
import { SingleConnection } from "./_singleConnection.js";
import { type UpstreamError } from "./types.js";

const MOST_IDLE_CONNECTIONS = 4;
const MAXIMUM_ANSWER_BYTES = 1024 * 1024;

/** Bounds on the calls that carry orders. */
export interface OrderConnectionsOptions {
    readonly url: string;
    readonly connectTimeoutMilliseconds: number;
    /** Longest time for the report that names the incarnation. */
    readonly reportTimeoutMilliseconds: number;
    readonly orderTimeoutMilliseconds: number;
    readonly mostOrdersAtOnce: number;
}

interface VerifiedConnection {
    readonly connection: SingleConnection;
    readonly incarnation: string;
}

/** The connections that carry orders to one engine. */
export class OrderConnections {
    readonly #options: OrderConnectionsOptions;
    readonly #open = new Set<SingleConnection>();
    #idle: VerifiedConnection[] = [];
    #busy = 0;

    constructor(options: OrderConnectionsOptions) {
        this.#options = options;
    }

    /** Sends an order once, on a connection that an answer tied to the incarnation before. */
    async send(order: EngineOrder, incarnation: string): Promise<Result<EngineOrderAnswer, UpstreamError>> {
        if (this.#busy >= this.#options.mostOrdersAtOnce) {
            return Err({ kind: "not-sent", message: `${this.#busy} orders are in flight already` });
        }
        this.#busy += 1;
        try {
            const verified = await this.#obtain(incarnation);
            return verified.isErr() ? verified : await this.#sendOn(verified.value, order);
        }
        finally {
            this.#busy -= 1;
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
        const parsed = answer.andThen(whole => parseAnswer(engineOrderAnswerSchema, whole));
        await this.#keepIdle(verified, answer.isOk());
        return parsed.andThen(checked =>
            checked.incarnation === verified.incarnation
                ? Ok(checked)
                : Err({ kind: "invalid", message: `an answer of incarnation ${checked.incarnation}` })
        );
    }

    async #obtain(incarnation: string): Promise<Result<VerifiedConnection, UpstreamError>> {
        const usable = this.#idle.find(idle => idle.incarnation === incarnation && !idle.connection.ended);
        if (usable !== undefined) {
            this.#idle = this.#idle.filter(idle => idle !== usable);
            return Ok(usable);
        }
        return this.#openVerified(incarnation);
    }

    /** Opens a connection and asks on it which incarnation it leads to; any failure means the order was not sent. */
    async #openVerified(incarnation: string): Promise<Result<VerifiedConnection, UpstreamError>> {
        const connection = new SingleConnection(this.#options.url, this.#options.connectTimeoutMilliseconds);
        this.#open.add(connection);
        const report = await readReportOn(connection, this.#options.reportTimeoutMilliseconds);
        if (report.isOk() && report.value.incarnation === incarnation) {
            return Ok({ connection, incarnation });
        }
        await this.#discard(connection);
        const message = report.isOk()
            ? `the engine is incarnation ${report.value.incarnation} by now`
            : report.error.message;
        return Err({ kind: "not-sent", message });
    }

    async #keepIdle(verified: VerifiedConnection, usable: boolean): Promise<void> {
        this.#idle = this.#idle.filter(idle => !idle.connection.ended);
        const keep = usable && !verified.connection.ended && this.#idle.length < MOST_IDLE_CONNECTIONS;
        if (keep) {
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
