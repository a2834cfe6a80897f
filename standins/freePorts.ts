/**
 * Free ports on loopback for servers that a test or the demo starts afterwards.
 *
 * @module
 */
import { createServer, type Server } from "node:net";

const LOOPBACK = "127.0.0.1";

/** The range of blocks ends below the ephemeral ports of Linux, which start at 32,768. */
const FIRST_PORT = 20_000;

const PORTS_PER_BLOCK = 40;

const BLOCK_COUNT = 300;

/** A block of ports that is reserved for this process as long as it listens on the first of them. */
interface PortBlock {
    readonly guard: Server;
    readonly firstPort: number;
    allocatedPorts: number;
}

let currentBlock: Promise<PortBlock> | undefined;

/** Listens on a port. Returns `undefined` where the port is in use. */
function tryListen(port: number): Promise<Server | undefined> {
    return new Promise((resolve, reject) => {
        const server = createServer();
        server.once("error", (error: NodeJS.ErrnoException) => {
            if (error.code === "EADDRINUSE") {
                resolve(undefined);
            }
            else {
                reject(error);
            }
        });
        server.listen(port, LOOPBACK, () => resolve(server));
    });
}

async function claimBlock(): Promise<PortBlock> {
    const start = Math.floor(Math.random() * BLOCK_COUNT);
    for (let offset = 0; offset < BLOCK_COUNT; offset += 1) {
        const firstPort = FIRST_PORT + ((start + offset) % BLOCK_COUNT) * PORTS_PER_BLOCK;
        const guard = await tryListen(firstPort);
        if (guard !== undefined) {
            guard.unref();
            return { guard, firstPort, allocatedPorts: 1 };
        }
    }
    throw new Error(`no free block of ports between ${FIRST_PORT} and ${FIRST_PORT + BLOCK_COUNT * PORTS_PER_BLOCK}`);
}

async function nextPort(): Promise<number> {
    for (;;) {
        currentBlock ??= claimBlock();
        const block = await currentBlock;
        if (block.allocatedPorts >= PORTS_PER_BLOCK) {
            currentBlock = undefined;
            continue;
        }
        const port = block.firstPort + block.allocatedPorts;
        block.allocatedPorts += 1;
        const server = await tryListen(port);
        if (server !== undefined) {
            await new Promise(resolve => server.close(resolve));
            return port;
        }
    }
}

/**
 * Finds ports that stay free until the caller listens on them: neither another process that calls this function nor an
 * outgoing connection is given one of them.
 *
 * @param count Number of ports.
 * @throws Where all blocks of the range are reserved.
 *
 * @example
 * ```ts
 * const [callersPort, peersPort] = await findFreePorts(2);
 * ```
 */
export async function findFreePorts(count: number): Promise<number[]> {
    const ports: number[] = [];
    while (ports.length < count) {
        ports.push(await nextPort());
    }
    return ports;
}
