/** JMH benchmarks; run with {@code java -jar jmh/target/walnutfield-jmh.jar}. */
package walnutfield.jmh;
