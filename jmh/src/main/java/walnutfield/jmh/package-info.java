/** Benchmarks with JMH: java -jar jmh/target/walnutfield-jmh.jar. */
package walnutfield.jmh;
