/**
 * Reuses connections to upstreams, but never one on which unexpected bytes arrived while it was idle.
 *
 * @module
 */
import { Agent, type ClientRequest } from "node:http";
import { type Socket } from "node:net";

/** Idle connections close this long before the upstream closes them, so that no request races with its close. */
const IDLE_MARGIN_MILLISECONDS = 1_000;

/** Idle limit where the upstream sends no keep-alive timeout. */
const DEFAULT_IDLE_MILLISECONDS = 3_000;

const MINIMUM_IDLE_MILLISECONDS = 200;
const MILLISECONDS_PER_SECOND = 1_000;

interface AgentInternals {
    keepSocketAlive(socket: Socket): boolean;
    reuseSocket(socket: Socket, request: ClientRequest): void;
}

interface SocketWithMessage extends Socket {
    readonly _httpMessage?: { readonly res?: { readonly headers: Readonly<Record<string, string | undefined>>; }; };
}

function readIdleMilliseconds(socket: SocketWithMessage): number {
    const hint = socket._httpMessage?.res?.headers["keep-alive"];
    const seconds = /timeout=(\d+)/.exec(hint ?? "")?.[1];
    if (seconds === undefined) {
        return DEFAULT_IDLE_MILLISECONDS;
    }
    const milliseconds = Number(seconds) * MILLISECONDS_PER_SECOND - IDLE_MARGIN_MILLISECONDS;
    return Math.max(MINIMUM_IDLE_MILLISECONDS, milliseconds);
}

/** An agent that closes an idle connection when bytes arrive on it, or shortly before its keep-alive timeout. */
class UpstreamAgent extends Agent {
    readonly #idle = new WeakMap<Socket, { readonly timer: NodeJS.Timeout; readonly onData: () => void; }>();

    override keepSocketAlive(socket: Socket): boolean {
        const idleMilliseconds = readIdleMilliseconds(socket);
        const base = Agent.prototype as unknown as AgentInternals;
        if (!base.keepSocketAlive.call(this, socket)) {
            return false;
        }
        const end = (): void => void socket.destroy();
        const timer = setTimeout(end, idleMilliseconds);
        timer.unref();
        socket.once("data", end);
        socket.resume();
        this.#idle.set(socket, { timer, onData: end });
        return true;
    }

    override reuseSocket(socket: Socket, request: ClientRequest): void {
        const idle = this.#idle.get(socket);
        if (idle !== undefined) {
            clearTimeout(idle.timer);
            socket.removeListener("data", idle.onData);
            this.#idle.delete(socket);
        }
        const base = Agent.prototype as unknown as AgentInternals;
        base.reuseSocket.call(this, socket, request);
    }
}

/**
 * Creates the connection pool for the upstreams of one service.
 *
 * @param connectionsPerUpstream Maximum connections of this host to one upstream.
 *
 * @example
 * ```ts
 * const agent = createUpstreamAgent(40);
 * agent.destroy();
 * ```
 */
export function createUpstreamAgent(connectionsPerUpstream: number): Agent {
    return new UpstreamAgent({
        keepAlive: true,
        maxSockets: connectionsPerUpstream,
        maxFreeSockets: connectionsPerUpstream,
        scheduling: "lifo",
        noDelay: true,
    });
}
